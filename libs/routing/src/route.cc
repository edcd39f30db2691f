#include "quetzalhinge/routing/route.h"
