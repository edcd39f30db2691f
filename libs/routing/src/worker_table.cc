#include "quetzalhinge/routing/worker_table.h"
