#include "quetzalhinge/routing/worker_selector.h"
