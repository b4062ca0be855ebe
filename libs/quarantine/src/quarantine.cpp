// Decisions of the quarantine.
#include "quarantine/quarantine.h"
