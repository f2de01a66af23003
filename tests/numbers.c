#include "numbers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int parse_number(const char *text)
{
    return (int)strtol(text, NULL, 10);
}

bool parse_number_after(const char *text, const char *prefix, long *number)
{
    size_t length = strlen(prefix);
    if (strncmp(text, prefix, length) != 0)
        return false;
    char *end;
    *number = strtol(text + length, &end, 10);
    return end != text + length;
}

size_t parse_numbers(const char *text, char separator, double *numbers, size_t max)
{
    size_t count = 0;
    while (count < max) {
        char *end;
        double number = strtod(text, &end);
        if (end == text)
            break;
        numbers[count++] = number;
        if (*end != separator)
            break;
        text = end + 1;
    }
    return count;
}

size_t parse_name_and_numbers(const char *text, char *name, size_t capacity, double *numbers,
                              size_t max)
{
    size_t length = strcspn(text, ":");
    if (length == 0 || length >= capacity || text[length] != ':')
        return 0;
    snprintf(name, capacity, "%.*s", (int)length, text);
    return parse_numbers(text + length + 1, ':', numbers, max);
}
