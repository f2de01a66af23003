/* Look-up of machine types, zones, teams, job classes and images by name, and of jobs by id.
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

/* An entry of a table of interned names, hashed by name. Indices count from 0. */
struct bd_name_entry {
    UT_hash_handle hh;
    int index;
    char name[BD_LABEL_BYTES];
};

/* Returns the name's index; adds the name if it is new. */
int bd_name_intern(struct bd_name_entry **table, const char *name);
void bd_name_table_free(struct bd_name_entry **table);
/* Returns the machine type's index; -1: unknown type. */
int bd_type_find(const struct bd_core *core, const char *label);
/* Returns the machine type's index; adds the type if it is new. -1: the table is full. */
int bd_type_find_or_add(struct bd_core *core, const char *label);
/* Returns the zone's index; -1: unknown zone. */
int bd_zone_find(const struct bd_core *core, const char *name);
/* Returns the zone's index; adds the zone if it is new. -1: the table is full. */
int bd_zone_find_or_add(struct bd_core *core, const char *name);
/* Returns the team's index in the settings; -1: unknown team. */
int bd_team_find(const struct bd_core *core, const char *name);
/* Returns the name of a job class; empty if the index is unknown. */
const char *bd_job_class_name(const struct bd_core *core, int index);
/* Returns NULL if the job is not in memory. */
struct bd_job *bd_job_find(struct bd_core *core, const char *id);
/* Resolves the names in a job's specification; adds new names to the tables. */
void bd_spec_resolve(struct bd_core *core, const struct bd_job_spec_text *text,
                     struct bd_spec *spec);
#endif
