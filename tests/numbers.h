/* Numbers in the tests' text files, arguments and task names. Without state; used by the test
 * programs that read text. */
#ifndef BD_TESTS_NUMBERS_H
#define BD_TESTS_NUMBERS_H
#include <stdbool.h>
#include <stddef.h>

/* The decimal number that the text begins with; 0 if there is none. */
int number_of(const char *text);
/* False: the text does not begin with the prefix and a number after it. */
bool number_after(const char *text, const char *prefix, long *number);
/* Reads numbers that a separator divides into `numbers`. Returns how many of at most `max` were
 * read before the text's end or something that is no number. */
size_t numbers_split(const char *text, char separator, double *numbers, size_t max);
/* Reads "NAME:1:2": the name, and numbers as numbers_split does. Returns the count of numbers, 0
 * also where the name is empty or does not fit into `capacity` bytes. */
size_t numbers_after_name(const char *text, char *name, size_t capacity, double *numbers,
                          size_t max);
#endif
