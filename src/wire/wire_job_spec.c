/* Job specs in submissions and in job records. */
#include "wire/wire_internal.h"
#include "wire/wire_limits.h"
#include "wire/wire_names.h"
#include <string.h>

/* Indexed by enum bd_job_kind and enum bd_priority. */
static const char *const job_kinds[] = {"sweep", "gang", "service"};
static const char *const priorities[] = {"idle", "standard", "high", "production"};

static bool read_machine_types(json_t *object, struct bd_job_spec_text *spec)
{
    json_t *types = json_object_get(object, KEY_MACHINE_TYPES), *type;
    size_t i;
    spec->type_count = -1;
    if (bd_wire_is_missing_or_null(types))
        return true;
    if (!json_is_array(types))
        return false;
    spec->type_count = 0;
    json_array_foreach(types, i, type)
    {
        const char *label = json_string_value(type);
        if (!label || !*label)
            return false;
        if (spec->type_count < BD_TYPES_MAX)
            bd_wire_shorten_name(label, spec->types[spec->type_count++]);
        else
            spec->has_more_types = true;
    }
    return true;
}

static bool has_type(const struct bd_job_spec_text *spec, const char *label)
{
    for (int i = 0; i < spec->type_count; i++)
        if (strcmp(spec->types[i], label) == 0)
            return true;
    return false;
}

void bd_wire_select_types(json_t *body, bool (*is_wanted)(const void *arg, const char *label),
                          const void *arg, struct bd_job_spec_text *spec)
{
    json_t *type;
    size_t i;
    spec->type_count = 0;
    json_array_foreach(json_object_get(body, KEY_MACHINE_TYPES), i, type)
    {
        char label[BD_LABEL_BYTES];
        bd_wire_shorten_name(json_string_value(type), label);
        if (spec->type_count < BD_TYPES_MAX && is_wanted(arg, label) && !has_type(spec, label))
            strcpy(spec->types[spec->type_count++], label);
    }
}

/* The readers below return NULL on success, or the name of the invalid field. */
static const char *read_amounts(json_t *object, struct bd_job_spec_text *spec)
{
    const struct {
        const char *key;
        double *out;
    } amounts[] = {
        {KEY_CPUS, &spec->cpus},
        {KEY_GPUS, &spec->gpus},
        {KEY_MEMORY_GB, &spec->mem_gb},
        {KEY_IMAGE_GB, &spec->image_gb},
        {KEY_ESTIMATE_S, &spec->estimate_s},
        {KEY_CHECKPOINT_INTERVAL_S, &spec->checkpoint_interval_s},
        {KEY_CHECKPOINT_SAVE_S, &spec->checkpoint_save_s},
    };
    for (int i = 0; i < COUNT_OF(amounts); i++)
        if (!bd_wire_read_amount(object, amounts[i].key, amounts[i].out))
            return amounts[i].key;
    spec->deadline_s = -1;
    if (!bd_wire_is_missing_or_null(json_object_get(object, KEY_DEADLINE_S)) &&
        !bd_wire_read_amount(object, KEY_DEADLINE_S, &spec->deadline_s))
        return KEY_DEADLINE_S;
    return NULL;
}

static const char *read_kind_and_priority(json_t *object, struct bd_job_spec_text *spec)
{
    int kind = bd_wire_read_enum(object, KEY_JOB_KIND, job_kinds, COUNT_OF(job_kinds));
    if (kind < 0)
        return KEY_JOB_KIND;
    int priority = bd_wire_read_enum(object, KEY_PRIORITY, priorities, COUNT_OF(priorities));
    if (priority < 0)
        return KEY_PRIORITY;
    spec->kind = (enum bd_job_kind)kind;
    spec->priority = (enum bd_priority)priority;
    return NULL;
}

static const char *read_placement(json_t *object, struct bd_job_spec_text *spec)
{
    if (!bd_wire_is_missing_or_null(json_object_get(object, KEY_ZONE)) &&
        !bd_wire_read_name(object, KEY_ZONE, spec->zone))
        return KEY_ZONE;
    if (!read_machine_types(object, spec))
        return KEY_MACHINE_TYPES;
    if (!bd_wire_read_bool(object, KEY_SAME_ZONE, &spec->same_zone))
        return KEY_SAME_ZONE;
    if (!bd_wire_read_bool(object, KEY_SPREAD_ZONES, &spec->spread_zones))
        return KEY_SPREAD_ZONES;
    if (!bd_wire_read_bool(object, KEY_SPOT, &spec->spot))
        return KEY_SPOT;
    return NULL;
}

const char *bd_wire_read_job_spec(json_t *object, struct bd_job_spec_text *out)
{
    uint64_t tasks = 0;
    memset(out, 0, sizeof *out);
    if (!bd_wire_read_name(object, KEY_JOB_CLASS, out->job_class))
        return KEY_JOB_CLASS;
    if (!bd_wire_read_name(object, KEY_TEAM, out->team))
        return KEY_TEAM;
    const char *invalid_field = read_kind_and_priority(object, out);
    if (invalid_field)
        return invalid_field;
    if (!bd_wire_read_unsigned(object, KEY_TASK_COUNT, &tasks) || tasks < 1 || tasks > BD_TASKS_MAX)
        return KEY_TASK_COUNT;
    out->tasks = (uint32_t)tasks;
    if (!bd_wire_read_name(object, KEY_IMAGE, out->image))
        return KEY_IMAGE;
    invalid_field = read_placement(object, out);
    return invalid_field ? invalid_field : read_amounts(object, out);
}

static json_t *write_machine_types(const struct bd_job_spec_text *spec)
{
    if (spec->type_count < 0)
        return json_null();
    json_t *types = json_array();
    for (int i = 0; i < spec->type_count; i++)
        json_array_append_new(types, json_string(spec->types[i]));
    return types;
}

json_t *bd_wire_write_job_spec(const struct bd_job_spec_text *spec)
{
    json_t *zone = *spec->zone ? json_string(spec->zone) : json_null();
    json_t *deadline = spec->deadline_s < 0 ? json_null() : json_real(spec->deadline_s);
    /* clang-format off */ /* one field per line */
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:o, s:o, s:b, s:b, s:b, s:f, s:f, s:f,"
        " s:o}",
        KEY_JOB_CLASS, spec->job_class,
        KEY_TEAM, spec->team,
        KEY_JOB_KIND, job_kinds[spec->kind],
        KEY_PRIORITY, priorities[spec->priority],
        KEY_TASK_COUNT, (int)spec->tasks,
        KEY_CPUS, spec->cpus,
        KEY_GPUS, spec->gpus,
        KEY_MEMORY_GB, spec->mem_gb,
        KEY_IMAGE, spec->image,
        KEY_IMAGE_GB, spec->image_gb,
        KEY_MACHINE_TYPES, write_machine_types(spec),
        KEY_ZONE, zone,
        KEY_SAME_ZONE, (int)spec->same_zone,
        KEY_SPREAD_ZONES, (int)spec->spread_zones,
        KEY_SPOT, (int)spec->spot,
        KEY_ESTIMATE_S, spec->estimate_s,
        KEY_CHECKPOINT_INTERVAL_S, spec->checkpoint_interval_s,
        KEY_CHECKPOINT_SAVE_S, spec->checkpoint_save_s,
        KEY_DEADLINE_S, deadline);
    /* clang-format on */
}
