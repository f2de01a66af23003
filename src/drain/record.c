/* Encoding of a drain's records in the key-value store. Part of the pure core. */
#include "base/json_number.h"
#include "drain/drain_record.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Share of a value's maximum size that a part is planned to fill. */
#define VALUE_SHARE 0.9
/* Size of a part's value without its machines, and of a machine without its ids and team. */
#define PART_BYTES 16u
#define MACHINE_BYTES 56u
/* By how much the id of a replacement may exceed the longest id of the drain's machines. */
#define REPLACEMENT_EXTRA_BYTES 8u

/* Stored in records; shown in API responses and in the log. */
static const char *const stage_names[BD_STAGES] = {
    [BD_STAGE_CORDONED] = "cordoned", [BD_STAGE_WAITING] = "waiting",
    [BD_STAGE_STOPPING] = "stopping", [BD_STAGE_EMPTY] = "empty",
    [BD_STAGE_REPLACED] = "replaced", [BD_STAGE_RETURNED] = "returned",
    [BD_STAGE_FAILED] = "failed",
};
static const char *const wait_names[BD_DRAIN_WAITS] = {
    [BD_DRAIN_WAIT_NOTHING] = "",
    [BD_DRAIN_WAIT_OLDER_CONTROLLER] = "older controller",
    [BD_DRAIN_WAIT_PAUSED] = "resume",
    [BD_DRAIN_WAIT_HEARTBEAT] = "report",
    [BD_DRAIN_WAIT_REPLACEMENT] = "replacement",
    [BD_DRAIN_WAIT_TASKS] = "tasks to end",
    [BD_DRAIN_WAIT_BUDGET] = "budget",
    [BD_DRAIN_WAIT_STEP] = "steps",
    [BD_DRAIN_WAIT_ZONE] = "zone",
    [BD_DRAIN_WAIT_CAPACITY] = "room",
    [BD_DRAIN_WAIT_WORK] = "work on the replacement",
};
static const char *const state_names[] = {
    [BD_DRAIN_ACTIVE] = "active",
    [BD_DRAIN_PAUSED] = "paused",
    [BD_DRAIN_CANCELLED] = "called off",
    [BD_DRAIN_DONE] = "done",
};
static const char *const mode_names[] = {
    [BD_DRAIN_RETIRE] = "retire",
    [BD_DRAIN_REPLACE] = "replace",
};

#define ARRAY_LENGTH(names) ((int)(sizeof(names) / sizeof *(names)))

/* Returns the index of the name, or -1. */
static int find_name(const char *const *names, int nnames, const char *name)
{
    for (int i = 0; name && i < nnames; i++)
        if (strcmp(names[i], name) == 0)
            return i;
    return -1;
}

const char *bd_drain_stage_name(enum bd_drain_stage stage)
{
    return stage_names[stage];
}

const char *bd_drain_wait_name(enum bd_drain_wait wait)
{
    return wait_names[wait];
}

const char *bd_drain_state_name(enum bd_drain_state state)
{
    return state_names[state];
}

const char *bd_drain_mode_name(enum bd_drain_mode mode)
{
    return mode_names[mode];
}

json_t *bd_drain_record_encode(const struct bd_drain_record *record)
{
    return json_pack("{s:s,s:s,s:f,s:f,s:s,s:i,s:i,s:O}", "mode", mode_names[record->mode], "state",
                     state_names[record->state], "at", record->requested_at_s, "ended",
                     record->ended_at_s, "set", record->machine_set_id, "parts",
                     (int)record->nparts, "machines", (int)record->nmachines, "asked",
                     record->request);
}

bool bd_drain_record_decode(const char *name, json_t *value, uint64_t revision,
                            struct bd_drain_record *out)
{
    memset(out, 0, sizeof *out);
    const char *machine_set_id = json_string_value(json_object_get(value, "set"));
    int mode = find_name(mode_names, ARRAY_LENGTH(mode_names),
                         json_string_value(json_object_get(value, "mode")));
    int state = find_name(state_names, ARRAY_LENGTH(state_names),
                          json_string_value(json_object_get(value, "state")));
    uint64_t parts = 0, machines = 0;
    (void)bd_json_read_unsigned(json_object_get(value, "parts"), &parts);
    (void)bd_json_read_unsigned(json_object_get(value, "machines"), &machines);
    if (strlen(name) >= sizeof out->name || !machine_set_id ||
        strlen(machine_set_id) >= sizeof out->machine_set_id || mode < 0 || state < 0 ||
        parts < 1 || parts > UINT16_MAX || machines < 1 || machines > UINT32_MAX)
        return false;
    strcpy(out->name, name);
    strcpy(out->machine_set_id, machine_set_id);
    out->mode = (enum bd_drain_mode)mode;
    out->state = (enum bd_drain_state)state;
    out->requested_at_s = json_number_value(json_object_get(value, "at"));
    out->ended_at_s = json_number_value(json_object_get(value, "ended"));
    out->nparts = (uint32_t)parts;
    out->nmachines = (uint32_t)machines;
    out->revision = revision;
    out->request = json_object_get(value, "asked");
    return out->request != NULL;
}

/* Encodes [id, stage, wait, since, team, replacement]. Empty texts at the end are omitted. */
static json_t *encode_entry(const struct bd_drain_machine *entry)
{
    json_t *value = json_pack("[s,s,s,I]", entry->id, stage_names[entry->stage],
                              wait_names[entry->wait], (json_int_t)entry->state_since_s);
    if (*entry->team || *entry->replacement)
        json_array_append_new(value, json_string(entry->team));
    if (*entry->replacement)
        json_array_append_new(value, json_string(entry->replacement));
    return value;
}

json_t *bd_drain_part_encode(const struct bd_drain_machine *machines, uint32_t nmachines)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < nmachines; i++)
        json_array_append_new(list, encode_entry(&machines[i]));
    return json_pack("{s:o}", "m", list);
}

/* Copies a text; a missing one (NULL) becomes empty. False: not a text, or too long. */
static bool copy_text(json_t *value, char *out, size_t capacity)
{
    const char *text = json_string_value(value);
    if (value && (!text || strlen(text) >= capacity))
        return false;
    snprintf(out, capacity, "%s", text ? text : "");
    return true;
}

static bool decode_entry(json_t *value, struct bd_drain_machine *entry)
{
    memset(entry, 0, sizeof *entry);
    int stage = find_name(stage_names, ARRAY_LENGTH(stage_names),
                          json_string_value(json_array_get(value, 1)));
    int wait = find_name(wait_names, ARRAY_LENGTH(wait_names),
                         json_string_value(json_array_get(value, 2)));
    if (stage < 0 || wait < 0 ||
        !copy_text(json_array_get(value, 0), entry->id, sizeof entry->id) || !*entry->id ||
        !copy_text(json_array_get(value, 4), entry->team, sizeof entry->team) ||
        !copy_text(json_array_get(value, 5), entry->replacement, sizeof entry->replacement))
        return false;
    entry->stage = entry->recorded_stage = (enum bd_drain_stage)stage;
    entry->wait = (enum bd_drain_wait)wait;
    entry->state_since_s = json_number_value(json_array_get(value, 3));
    return true;
}

bool bd_drain_part_decode(json_t *value, struct bd_drain_machine **machines, uint32_t *nmachines)
{
    json_t *list = json_object_get(value, "m"), *item;
    size_t i;
    if (!json_is_array(list))
        return false;
    struct bd_drain_machine *grown =
        realloc(*machines, (*nmachines + json_array_size(list) + 1) * sizeof *grown);
    if (!grown)
        abort();
    *machines = grown;
    json_array_foreach(list, i, item)
    {
        if (!decode_entry(item, &grown[*nmachines]))
            return false;
        ++*nmachines;
    }
    return true;
}

uint32_t bd_drain_part_machines_max(const struct bd_settings *settings, size_t kv_value_bytes_max,
                                    size_t longest_id_len)
{
    size_t longest_team_len = 0;
    for (int i = 0; i < settings->nteams; i++) {
        size_t length = strlen(settings->teams[i].name);
        longest_team_len = length > longest_team_len ? length : longest_team_len;
    }
    size_t machine_bytes =
        MACHINE_BYTES + 2 * longest_id_len + REPLACEMENT_EXTRA_BYTES + longest_team_len;
    double bytes = VALUE_SHARE * (double)kv_value_bytes_max - PART_BYTES;
    return bytes < (double)machine_bytes ? 0 : (uint32_t)(bytes / (double)machine_bytes);
}

void bd_drain_part_key(char *key, size_t capacity, const char *machine_set_id, uint32_t part)
{
    snprintf(key, capacity, BD_DRAIN_MACHINES_KEY_PREFIX "%s/%04u", machine_set_id, part);
}
