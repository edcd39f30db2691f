#include "quetzalhinge/routing/route_classifier.h"
