/* Shared by the readers of the two settings files: settings.c for the platform's, operators_file.c
 * for the operators'. */
#ifndef BD_SETTINGS_INTERNAL_H
#define BD_SETTINGS_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>

/* The reading of one file, with the first fault that was found in it. */
struct bd_settings_reader {
    const char *path;
    char *err; /* the caller's, of errlen bytes: the message, once failed */
    size_t errlen;
    bool failed;
};

/* Records that a field is wrong, unless a fault was recorded before. what: the message's end. */
void bd_settings_fault(struct bd_settings_reader *reader, const char *field, const char *what);
#endif
