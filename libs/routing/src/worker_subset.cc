#include "quetzalhinge/routing/worker_subset.h"
