/* A drain's records in the state service: `d/NAME` says what was asked for and whether it goes on;
 * `e/SET/PART` holds its machines, some a part, with how far they are. Part of the pure core. */
#include "drain/drain.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_SHARE 0.9   /* of a value, as counted */
#define HEAD_BYTES 16u    /* of a part's value */
#define MACHINE_BYTES 56u /* of a machine in it, beside its names and the team's */

static const char *const stages[BD_STAGES] = {"cordoned", "waiting",  "stopping", "empty",
                                              "replaced", "returned", "failed"};
static const char *const waits[BD_DRAIN_WAITS] = {"",
                                                  "older controller",
                                                  "resume",
                                                  "report",
                                                  "replacement",
                                                  "tasks to end",
                                                  "budget",
                                                  "steps",
                                                  "zone",
                                                  "room",
                                                  "work on the replacement"};
static const char *const states[] = {"active", "paused", "called off", "done"};
static const char *const modes[] = {"retire", "replace"};

static int index_in(const char *const *names, int n, const char *name)
{
    for (int i = 0; name && i < n; i++)
        if (strcmp(names[i], name) == 0)
            return i;
    return -1;
}

const char *bd_drain_stage_name(enum bd_drain_stage stage)
{
    return stages[stage];
}

const char *bd_drain_wait_name(enum bd_drain_wait wait)
{
    return waits[wait];
}

const char *bd_drain_state_name(enum bd_drain_state state)
{
    return states[state];
}

const char *bd_drain_mode_name(enum bd_drain_mode mode)
{
    return modes[mode];
}

json_t *bd_drain_record_value(const struct bd_drain_record *record)
{
    return json_pack("{s:s,s:s,s:f,s:f,s:s,s:i,s:i,s:O}", "mode", modes[record->mode], "state",
                     states[record->state], "at", record->at, "ended", record->ended, "set",
                     record->set, "parts", (int)record->parts, "machines", (int)record->machines,
                     "asked", record->asked);
}

bool bd_drain_record_read(const char *name, json_t *value, uint64_t revision,
                          struct bd_drain_record *out)
{
    memset(out, 0, sizeof *out);
    const char *set = json_string_value(json_object_get(value, "set"));
    int mode = index_in(modes, 2, json_string_value(json_object_get(value, "mode")));
    int state = index_in(states, 4, json_string_value(json_object_get(value, "state")));
    json_int_t parts = json_integer_value(json_object_get(value, "parts"));
    json_int_t machines = json_integer_value(json_object_get(value, "machines"));
    if (strlen(name) >= sizeof out->name || !set || strlen(set) >= sizeof out->set || mode < 0 ||
        state < 0 || parts < 1 || parts > UINT16_MAX || machines < 1 || machines > UINT32_MAX)
        return false;
    strcpy(out->name, name);
    strcpy(out->set, set);
    out->mode = (enum bd_drain_mode)mode;
    out->state = (enum bd_drain_state)state;
    out->at = json_number_value(json_object_get(value, "at"));
    out->ended = json_number_value(json_object_get(value, "ended"));
    out->parts = (uint32_t)parts;
    out->machines = (uint32_t)machines;
    out->revision = revision;
    out->asked = json_object_get(value, "asked");
    return out->asked != NULL;
}

/* ["vm-1", stage, wait, since, team, replacement]: what is empty at the end is left out */
static json_t *machine_value(const struct bd_drain_machine *m)
{
    json_t *v =
        json_pack("[s,s,s,I]", m->id, stages[m->stage], waits[m->wait], (json_int_t)m->since);
    if (*m->team || *m->replacement)
        json_array_append_new(v, json_string(m->team));
    if (*m->replacement)
        json_array_append_new(v, json_string(m->replacement));
    return v;
}

json_t *bd_drain_part_value(const struct bd_drain_machine *machines, uint32_t n)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < n; i++)
        json_array_append_new(list, machine_value(&machines[i]));
    return json_pack("{s:o}", "m", list);
}

static bool text_of(json_t *v, char *out, size_t cap)
{
    const char *s = json_string_value(v);
    if (v && (!s || strlen(s) >= cap))
        return false;
    snprintf(out, cap, "%s", s ? s : "");
    return true;
}

static bool machine_read(json_t *v, struct bd_drain_machine *m)
{
    memset(m, 0, sizeof *m);
    int stage = index_in(stages, BD_STAGES, json_string_value(json_array_get(v, 1)));
    int wait = index_in(waits, BD_DRAIN_WAITS, json_string_value(json_array_get(v, 2)));
    if (stage < 0 || wait < 0 || !text_of(json_array_get(v, 0), m->id, sizeof m->id) || !*m->id ||
        !text_of(json_array_get(v, 4), m->team, sizeof m->team) ||
        !text_of(json_array_get(v, 5), m->replacement, sizeof m->replacement))
        return false;
    m->stage = m->recorded = (enum bd_drain_stage)stage;
    m->wait = (enum bd_drain_wait)wait;
    m->since = json_number_value(json_array_get(v, 3));
    return true;
}

bool bd_drain_part_read(json_t *value, struct bd_drain_machine **machines, uint32_t *n)
{
    json_t *list = json_object_get(value, "m"), *v;
    size_t i;
    if (!json_is_array(list))
        return false;
    struct bd_drain_machine *grown =
        realloc(*machines, (*n + json_array_size(list) + 1) * sizeof *grown);
    if (!grown)
        abort();
    *machines = grown;
    json_array_foreach(list, i, v)
    {
        if (!machine_read(v, &grown[*n]))
            return false;
        ++*n;
    }
    return true;
}

uint32_t bd_drain_part_machines(const struct bd_settings *settings, size_t kv_value_bytes_max,
                                size_t longest_id)
{
    size_t team = 0;
    for (int i = 0; i < settings->nteams; i++) {
        size_t len = strlen(settings->teams[i].name);
        team = len > team ? len : team;
    }
    /* a replacement's name may be a few digits longer than ours */
    size_t each = MACHINE_BYTES + 2 * longest_id + 8 + team;
    double capacity = VALUE_SHARE * (double)kv_value_bytes_max - HEAD_BYTES;
    return capacity < (double)each ? 0 : (uint32_t)(capacity / (double)each);
}

void bd_drain_part_key(char *key, size_t cap, const char *set, uint32_t part)
{
    snprintf(key, cap, BD_DRAIN_SET "%s/%04u", set, part);
}
