/* What the review's cases share: arguments, exit statuses, reading a controller's log. */
#ifndef CASE_H
#define CASE_H
#include "world.h"

/* case PROGRAM RECORD; TROUBLE=0 in the environment: without the disruption. */
extern bool trouble;
bool case_begin(int argc, char **argv, const struct site *site);
/* Ends the case with status 1 if a rule was broken, else 0. */
int case_end(void);
/* Ends the case with status 2: it could not run. */
int case_cannot(const char *why);
/* Whether the controller's log has the text after the position *from, which is moved on. */
bool log_has(int node, const char *text, long *from);
/* The controllers are up, one leads, and all machines that are up have reported to it. */
bool case_wait_ready(void);
#endif
