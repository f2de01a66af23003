/* Names and their numbers: machine types, zones, teams, job classes, images; and jobs by id.
 *
 * Owns the core's tables of names (images, classes, types, zones). Called by all of the core. */
#ifndef BD_CATALOG_H
#define BD_CATALOG_H
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <uthash.h>

struct bd_core;
struct bd_job;
struct bd_spec;

/* A table of names, hashed by name; numbers count from 0. */
struct bd_name_entry {
    UT_hash_handle hh;
    int index;
    char name[BD_LABEL_BYTES];
};

/* The name's number, which it gets now if it is new. */
int bd_name_intern(struct bd_name_entry **table, const char *name);
void bd_name_table_free(struct bd_name_entry **table);
/* The machine type's number, which it gets now if it is new; -1: too many types. */
int bd_type_find_or_add(struct bd_core *core, const char *label);
/* The zone's number; -1: not known. */
int bd_zone_find(const struct bd_core *core, const char *name);
/* ... which it gets now if it is new; -1: too many zones. */
int bd_zone_find_or_add(struct bd_core *core, const char *name);
/* The team's number in the settings; -1: not known. */
int bd_team_find(const struct bd_core *core, const char *name);
/* The name of a job class by its number; empty: not known. */
const char *bd_job_class_name(const struct bd_core *core, int index);
/* The job in memory; NULL: not known. */
struct bd_job *bd_job_find(struct bd_core *core, const char *id);
/* Resolves the names in a job's text; new ones are added to the tables. */
void bd_spec_resolve(struct bd_core *core, const struct bd_job_spec_text *text,
                     struct bd_spec *spec);
#endif
