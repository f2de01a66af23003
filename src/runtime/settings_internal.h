/* Shared by the readers of the two settings files: settings.c reads the platform's file,
 * operators_file.c the operators'. */
#ifndef BD_SETTINGS_INTERNAL_H
#define BD_SETTINGS_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>

/* The state of reading one file, with the first error found in it. */
struct bd_settings_reader {
    const char *path;
    char *err; /* the caller's buffer of errlen bytes: holds the message once failed */
    size_t errlen;
    bool failed;
};

/* Records an error in a field as `FILE: FIELD: reason`, unless one was recorded before. */
void bd_settings_record_error(struct bd_settings_reader *reader, const char *field,
                              const char *reason);
#endif
