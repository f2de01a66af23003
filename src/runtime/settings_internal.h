/* Shared by the readers of the two settings files: settings.c reads the platform's file,
 * operators_file.c the operators'. */
#ifndef BD_SETTINGS_INTERNAL_H
#define BD_SETTINGS_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>

/* The state of reading one file, with the first error found in it. */
struct bd_settings_reader {
    const char *path;
    char *error; /* the caller's buffer of error_size bytes: holds the message if has_failed */
    size_t error_size;
    bool has_failed;
};

/* Stores the error as `FILE: FIELD: message`, unless one was reported before. */
void bd_settings_report_error(struct bd_settings_reader *reader, const char *field,
                              const char *message);
#endif
