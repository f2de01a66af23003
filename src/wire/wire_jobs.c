/* Jobs on the wire: submissions, records in the state service, and what users are told. */
#include "wire/wire.h"
#include "wire/wire_internal.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[] = {"sweep", "gang", "service"};
static const char *const priority_names[] = {"idle", "standard", "high", "production"};
static const char *const state_names[] = {"live", "done", "cancelled"};

static bool type_list(json_t *o, struct bd_spec_text *s)
{
    json_t *a = json_object_get(o, "breeds"), *v;
    size_t i;
    s->ntypes = -1;
    if (bd_wire_is_null(a))
        return true;
    if (!json_is_array(a) || json_array_size(a) > BD_MAX_TYPES)
        return false;
    s->ntypes = 0;
    json_array_foreach(a, i, v)
    {
        const char *t = json_string_value(v);
        if (!t || !*t || strlen(t) >= BD_LABEL)
            return false;
        strcpy(s->types[s->ntypes++], t);
    }
    return true;
}

static const char *spec_numbers(json_t *o, struct bd_spec_text *s)
{
    if (!bd_wire_amount(o, "vcpus", &s->cpus))
        return "vcpus";
    if (!bd_wire_amount(o, "accelerators", &s->gpus))
        return "accelerators";
    if (!bd_wire_amount(o, "memGb", &s->mem))
        return "memGb";
    if (!bd_wire_amount(o, "imageGb", &s->image_gb))
        return "imageGb";
    if (!bd_wire_amount(o, "guessS", &s->estimate))
        return "guessS";
    if (!bd_wire_amount(o, "markS", &s->checkpoint_interval_s))
        return "markS";
    if (!bd_wire_amount(o, "stowS", &s->checkpoint_save_s))
        return "stowS";
    s->deadline_s = -1;
    if (!bd_wire_is_null(json_object_get(o, "dueS")) && !bd_wire_amount(o, "dueS", &s->deadline_s))
        return "dueS";
    return NULL;
}

static const char *spec_of(json_t *o, struct bd_spec_text *s)
{
    uint64_t n = 0;
    memset(s, 0, sizeof *s);
    if (!bd_wire_label(o, "kin", s->job_class))
        return "kin";
    if (!bd_wire_label(o, "household", s->team))
        return "household";
    int shape = bd_wire_index_of(kind_names, COUNT(kind_names),
                                 json_string_value(json_object_get(o, "shape")));
    if (shape < 0)
        return "shape";
    s->kind = (enum bd_job_kind)shape;
    int rank = bd_wire_index_of(priority_names, COUNT(priority_names),
                                json_string_value(json_object_get(o, "rank")));
    if (rank < 0)
        return "rank";
    s->priority = (enum bd_priority)rank;
    if (!bd_wire_whole(o, "chores", &n) || n < 1 || n > BD_MAX_TASKS)
        return "chores";
    s->tasks = (uint32_t)n;
    if (!bd_wire_label(o, "seed", s->image))
        return "seed";
    if (!bd_wire_is_null(json_object_get(o, "glade")) && !bd_wire_label(o, "glade", s->zone))
        return "glade";
    if (!type_list(o, s))
        return "breeds";
    if (!bd_wire_flag(o, "together", &s->same_zone))
        return "together";
    if (!bd_wire_flag(o, "scatter", &s->spread_zones))
        return "scatter";
    if (!bd_wire_flag(o, "windfall", &s->spot))
        return "windfall";
    return spec_numbers(o, s);
}

const char *bd_wire_submission(json_t *o, char id[BD_ID], struct bd_spec_text *out)
{
    id[0] = '\0';
    if (!json_is_object(o))
        return "body";
    const char *s = json_string_value(json_object_get(o, "id"));
    if (!bd_wire_job_id(s))
        return "id";
    strcpy(id, s);
    return spec_of(o, out);
}

bool bd_wire_parents(json_t *o, json_t **out)
{
    json_t *a = json_object_get(o, "awaits"), *v, *seen;
    size_t i;
    *out = NULL;
    if (bd_wire_is_null(a))
        return true;
    if (!json_is_array(a))
        return false;
    seen = json_object();
    *out = json_array();
    json_array_foreach(a, i, v)
    {
        const char *s = json_string_value(v);
        if (!bd_wire_job_id(s)) {
            json_decref(seen);
            json_decref(*out);
            *out = NULL;
            return false;
        }
        if (json_object_get(seen, s))
            continue;
        json_object_set_new(seen, s, json_true());
        json_array_append(*out, v);
    }
    json_decref(seen);
    if (json_array_size(*out) == 0) {
        json_decref(*out);
        *out = NULL;
    }
    return true;
}

json_t *bd_wire_parents_part(json_t *names)
{
    return json_pack("{s:o}", "awaits", names);
}

json_t *bd_wire_read_part(json_t *v)
{
    json_t *a = json_object_get(v, "awaits");
    return json_is_array(a) ? a : NULL;
}

static json_t *maybe(const char *s)
{
    return *s ? json_string(s) : json_null();
}

json_t *bd_wire_spec(const struct bd_spec_text *s)
{
    json_t *types = s->ntypes < 0 ? json_null() : json_array();
    for (int i = 0; i < s->ntypes; i++)
        json_array_append_new(types, json_string(s->types[i]));
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:o,s:o,s:b,s:b,s:b,s:f,s:f,s:f,s:o}", "kin",
        s->job_class, "household", s->team, "shape", kind_names[s->kind], "rank",
        priority_names[s->priority], "chores", (int)s->tasks, "vcpus", s->cpus, "accelerators",
        s->gpus, "memGb", s->mem, "seed", s->image, "imageGb", s->image_gb, "breeds", types,
        "glade", maybe(s->zone), "together", (int)s->same_zone, "scatter", (int)s->spread_zones,
        "windfall", (int)s->spot, "guessS", s->estimate, "markS", s->checkpoint_interval_s, "stowS",
        s->checkpoint_save_s, "dueS", s->deadline_s < 0 ? json_null() : json_real(s->deadline_s));
}

json_t *bd_wire_ended_spec(json_t *spec)
{
    json_t *o = json_copy(spec);
    if (o)
        json_object_set_new(o, "breeds", json_null());
    return o;
}

json_t *bd_wire_record(const struct bd_record *record)
{
    json_t *o = json_pack("{s:s,s:i,s:f}", "s", state_names[record->state], "n", (int)record->tasks,
                          "at", record->at);
    if (o && record->has_spec)
        json_object_set_new(o, "job", bd_wire_spec(&record->spec));
    else if (o && *record->spec.job_class) /* a finished job's class still tells how many come */
        json_object_set_new(o, "k", json_string(record->spec.job_class));
    if (o && record->parents.parts)
        json_object_set_new(
            o, "parts",
            json_pack("{s:s,s:i}", "of", record->parents.of, "n", (int)record->parents.parts));
    else if (o && record->parents.names)
        json_object_set(o, "awaits", record->parents.names);
    if (o && record->end > 0)
        json_object_set_new(o, "end", json_real(record->end));
    return o;
}

static void read_prerequisites(json_t *v, struct bd_record_parents *out)
{
    json_t *names = json_object_get(v, "awaits"), *parts = json_object_get(v, "parts");
    uint64_t n = 0;
    const char *of = json_string_value(json_object_get(parts, "of"));
    if (names && !json_is_array(names))
        out->damaged = true;
    else
        out->names = names;
    if (!parts)
        return;
    if (!of || strlen(of) >= BD_HASH || !bd_wire_whole(parts, "n", &n) || n < 1 ||
        n > BD_PARENT_PARTS_MAX) {
        out->damaged = true;
        return;
    }
    strcpy(out->of, of);
    out->parts = (uint32_t)n;
}

bool bd_wire_read_record(json_t *v, struct bd_record *out)
{
    uint64_t n = 0;
    memset(out, 0, sizeof *out);
    int m = bd_wire_index_of(state_names, COUNT(state_names),
                             json_string_value(json_object_get(v, "s")));
    if (m < 0 || !bd_wire_whole(v, "n", &n) || n < 1 || n > BD_MAX_TASKS)
        return false;
    out->at = json_number_value(json_object_get(v, "at"));
    out->end = json_number_value(json_object_get(v, "end"));
    out->state = (enum bd_job_state)m;
    out->tasks = (uint32_t)n;
    read_prerequisites(v, &out->parents);
    json_t *job = json_object_get(v, "job");
    out->has_spec = json_is_object(job) && spec_of(job, &out->spec) == NULL;
    if (!out->has_spec && !bd_wire_label(v, "k", out->spec.job_class))
        out->spec.job_class[0] = '\0';
    return out->has_spec || out->state == BD_JOB_DONE;
}

char *bd_wire_accepted(const char *id)
{
    char buf[96];
    snprintf(buf, sizeof buf, "{\"id\":\"%s\",\"mood\":\"pending\"}", id);
    return strdup(buf);
}

char *bd_wire_state(const char *id, const char *state, uint32_t done, uint32_t running)
{
    char buf[160];
    snprintf(buf, sizeof buf, "{\"id\":\"%s\",\"mood\":\"%s\",\"done\":%u,\"running\":%u}", id,
             state, done, running);
    return strdup(buf);
}