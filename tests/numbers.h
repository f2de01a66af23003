/* Numbers in the tests' text files, arguments and task names. Without state; used by the test
 * programs that read text. */
#ifndef BD_TESTS_NUMBERS_H
#define BD_TESTS_NUMBERS_H
#include <stdbool.h>
#include <stddef.h>

/* The decimal number that the text begins with; 0 if there is none. */
int parse_number(const char *text);
/* False: the text does not begin with the prefix and a number after it. */
bool parse_number_after(const char *text, const char *prefix, long *number);
/* Reads numbers that a separator divides into `numbers`. Returns how many of at most `max` were
 * read before the text's end or something that is no number. */
size_t parse_numbers(const char *text, char separator, double *numbers, size_t max);
/* Reads "NAME:1:2": the name, and numbers as parse_numbers does. Returns the count of numbers, 0
 * also where the name is empty or does not fit into `capacity` bytes. */
size_t parse_name_and_numbers(const char *text, char *name, size_t capacity, double *numbers,
                              size_t max);
#endif
