/* The parts of the test of drawn requests, one for each sender; see drawn_requests.c. */
#ifndef BD_TESTS_DRAWN_REQUESTS_H
#define BD_TESTS_DRAWN_REQUESTS_H
#include "spelling.h"
#include <stdbool.h>

/* Counts a failure unless `is_ok`; prints the first ones with the text that caused them. */
void drawn_check(bool is_ok, const char *what, const char *text);

/* Returns a drawn name, short or longer than any buffer, also with escapes and other alphabets. */
const char *drawn_name(struct spelling *spelling);

/* Draws one message of each kind, sound and unsound, and checks what the controller reads. */
void drawn_submissions(struct spelling *spelling);
void drawn_heartbeats(struct spelling *spelling);
void drawn_cloud_answers(struct spelling *spelling);
void drawn_store_answers(struct spelling *spelling);
#endif
