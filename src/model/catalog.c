#include "model/catalog.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void bd_name_table_free(struct bd_name_entry **table)
{
    struct bd_name_entry *entry, *next;
    HASH_ITER(hh, *table, entry, next)
    {
        HASH_DEL(*table, entry);
        free(entry);
    }
}

int bd_name_intern(struct bd_name_entry **table, const char *name)
{
    struct bd_name_entry *entry = NULL;
    HASH_FIND_STR(*table, name, entry);
    if (entry)
        return entry->index;
    entry = calloc(1, sizeof *entry);
    if (!entry)
        abort();
    snprintf(entry->name, sizeof entry->name, "%s", name);
    entry->index = (int)HASH_COUNT(*table);
    HASH_ADD_STR(*table, name, entry);
    return entry->index;
}

int bd_type_find(const struct bd_core *core, const char *label)
{
    for (int i = 0; i < core->ntypes; i++)
        if (strcmp(core->types[i].label, label) == 0)
            return i;
    return -1;
}

int bd_type_find_or_add(struct bd_core *core, const char *label)
{
    int known = bd_type_find(core, label);
    if (known >= 0)
        return known;
    if (core->ntypes == BD_TYPES_MAX)
        return -1;
    snprintf(core->types[core->ntypes].label, BD_LABEL_BYTES, "%s", label);
    return core->ntypes++;
}

int bd_zone_find(const struct bd_core *core, const char *name)
{
    for (int i = 0; i < core->nzones; i++)
        if (strcmp(core->zones[i], name) == 0)
            return i;
    return -1;
}

int bd_zone_find_or_add(struct bd_core *core, const char *name)
{
    int known = bd_zone_find(core, name);
    if (known >= 0)
        return known;
    if (core->nzones == BD_ZONES_MAX)
        return -1;
    snprintf(core->zones[core->nzones], BD_LABEL_BYTES, "%s", name);
    return core->nzones++;
}

int bd_team_find(const struct bd_core *core, const char *name)
{
    for (int i = 0; i < core->settings->nteams; i++)
        if (strcmp(core->settings->teams[i].name, name) == 0)
            return i;
    return -1;
}

struct bd_job *bd_job_find(struct bd_core *core, const char *id)
{
    struct bd_job *job = NULL;
    HASH_FIND_STR(core->jobs, id, job);
    return job;
}

/* Resolves the zone and the machine types. If the table of zones is full, an unknown zone must not
 * be taken for "any zone": no type is allowed then. */
static void resolve_placement(struct bd_core *core, const struct bd_job_spec_text *text,
                              struct bd_spec *spec)
{
    spec->zone = *text->zone ? bd_zone_find_or_add(core, text->zone) : -1;
    bool is_zone_unresolved = *text->zone && spec->zone < 0;
    if (is_zone_unresolved)
        return;
    spec->any_type = text->type_count < 0;
    for (int i = 0; i < text->type_count; i++) {
        int type = bd_type_find_or_add(core, text->types[i]);
        if (type >= 0)
            spec->types |= 1u << type;
    }
}

void bd_spec_resolve(struct bd_core *core, const struct bd_job_spec_text *text,
                     struct bd_spec *spec)
{
    *spec = (struct bd_spec){
        .job_class = bd_name_intern(&core->classes, text->job_class),
        .team = bd_team_find(core, text->team),
        .image = bd_name_intern(&core->images, text->image),
        .kind = text->kind,
        .priority = text->priority,
        .cpus = text->cpus,
        .gpus = text->gpus,
        .mem_gb = text->mem_gb,
        .image_gb = text->image_gb,
        .estimate_s = text->estimate_s,
        .checkpoint_interval_s = text->checkpoint_interval_s,
        .checkpoint_save_s = text->checkpoint_save_s,
        .deadline_s = text->deadline_s,
        .same_zone = text->same_zone,
        .spread_zones = text->spread_zones,
        .spot = text->spot,
    };
    resolve_placement(core, text, spec);
}

const char *bd_job_class_name(const struct bd_core *core, int index)
{
    struct bd_name_entry *entry, *next;
    HASH_ITER(hh, core->classes, entry, next)
    {
        if (entry->index == index)
            return entry->name;
    }
    return "";
}
