/* Shared by the readers of the two settings files. */
#ifndef BD_SETTINGS_INTERNAL_H
#define BD_SETTINGS_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>

/* One reading of one file; the first fault found is kept. */
struct bd_settings_reader {
    const char *path;
    char *err;
    size_t errlen;
    bool failed;
};

/* Records a fault of the field, unless there was one before. */
void bd_settings_fault(struct bd_settings_reader *reader, const char *field, const char *what);
#endif
