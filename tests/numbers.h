/* Parses numbers in the tests' text files, arguments and task names. */
#ifndef BD_TESTS_NUMBERS_H
#define BD_TESTS_NUMBERS_H
#include <stdbool.h>
#include <stddef.h>

/* Returns the decimal number at the start of the text, 0 if there is none. */
int parse_number(const char *text);
/* Returns false if the text does not start with the prefix and a number. */
bool parse_number_after(const char *text, const char *prefix, long *number);
/* Reads at most `max` numbers between separators. Stops at the end of the text or at anything that
 * is not a number. Returns the count. */
size_t parse_numbers(const char *text, char separator, double *numbers, size_t max);
/* Reads "NAME:1:2": the name, and numbers as parse_numbers does. Returns the count of numbers, 0
 * also where the name is empty or does not fit into `capacity` bytes. */
size_t parse_name_and_numbers(const char *text, char *name, size_t capacity, double *numbers,
                              size_t max);
#endif
