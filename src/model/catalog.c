#include "model/catalog.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void bd_names_free(struct bd_names **t)
{
    struct bd_names *n, *tmp;
    HASH_ITER(hh, *t, n, tmp)
    {
        HASH_DEL(*t, n);
        free(n);
    }
}

int bd_intern(struct bd_names **table, const char *name)
{
    struct bd_names *n = NULL;
    HASH_FIND_STR(*table, name, n);
    if (n)
        return n->index;
    n = calloc(1, sizeof *n);
    if (!n)
        abort();
    snprintf(n->name, sizeof n->name, "%s", name);
    n->index = (int)HASH_COUNT(*table);
    HASH_ADD_STR(*table, name, n);
    return n->index;
}

int bd_type_index(struct bd_core *core, const char *label)
{
    for (int i = 0; i < core->ntypes; i++)
        if (strcmp(core->types[i].label, label) == 0)
            return i;
    if (core->ntypes == BD_MAX_TYPES)
        return -1;
    snprintf(core->types[core->ntypes].label, BD_LABEL, "%s", label);
    return core->ntypes++;
}

int bd_zone_find(const struct bd_core *core, const char *name)
{
    for (int i = 0; i < core->nzones; i++)
        if (strcmp(core->zones[i], name) == 0)
            return i;
    return -1;
}

int bd_zone_index(struct bd_core *core, const char *name)
{
    int known = bd_zone_find(core, name);
    if (known >= 0)
        return known;
    if (core->nzones == BD_MAX_ZONES)
        return -1;
    snprintf(core->zones[core->nzones], BD_LABEL, "%s", name);
    return core->nzones++;
}

int bd_team_index(const struct bd_core *core, const char *name)
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

void bd_spec_resolve(struct bd_core *core, const struct bd_spec_text *t, struct bd_spec *s)
{
    memset(s, 0, sizeof *s);
    s->job_class = bd_intern(&core->classes, t->job_class);
    s->team = bd_team_index(core, t->team);
    s->image = bd_intern(&core->images, t->image);
    s->zone = *t->zone ? bd_zone_index(core, t->zone) : -1;
    bool nowhere = *t->zone && s->zone < 0; /* a zone too many must not mean any zone */
    s->any_type = t->ntypes < 0 && !nowhere;
    for (int i = 0; i < t->ntypes && !nowhere; i++) {
        int k = bd_type_index(core, t->types[i]);
        if (k >= 0)
            s->types |= 1u << k;
    }
    s->kind = t->kind;
    s->priority = t->priority;
    s->cpus = t->cpus;
    s->gpus = t->gpus;
    s->mem = t->mem;
    s->image_gb = t->image_gb;
    s->estimate = t->estimate;
    s->checkpoint_interval_s = t->checkpoint_interval_s;
    s->checkpoint_save_s = t->checkpoint_save_s;
    s->deadline_s = t->deadline_s;
    s->same_zone = t->same_zone;
    s->spread_zones = t->spread_zones;
    s->spot = t->spot;
}

const char *bd_class_name(const struct bd_core *core, int id)
{
    struct bd_names *n, *t;
    HASH_ITER(hh, core->classes, n, t)
    {
        if (n->index == id)
            return n->name;
    }
    return "";
}
