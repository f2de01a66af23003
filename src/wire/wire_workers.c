/* Workers on the wire: reports, and the commands they are given. */
#include "wire/wire.h"
#include "wire/wire_internal.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const subs[] = {"pulling", "gathering", "running", "saving", "exited"};
static const char *const whys[] = {"",      "done",    "stopped", "peers",  "alone",
                                   "error", "no_room", "busy",    "unknown"};
static const char *const verbs[] = {"launch", "halt", "forget"};

static bool seen_task(json_t *o, struct bd_reported_task *t)
{
    memset(t, 0, sizeof *t);
    if (!bd_wire_task_name(json_string_value(json_object_get(o, "chore")), t->job, &t->task))
        return false;
    int execution =
        bd_wire_index_of(subs, COUNT(subs), json_string_value(json_object_get(o, "mood")));
    if (execution < 0 || !bd_wire_whole(o, "try", &t->attempt))
        return false;
    t->execution = (enum bd_execution_state)execution;
    int why = bd_wire_index_of(whys, COUNT(whys), json_string_value(json_object_get(o, "cause")));
    t->exit_reason = why < 0 ? BD_EXIT_NONE : (enum bd_exit_reason)why;
    t->kept = json_is_true(json_object_get(o, "kept"));
    return true;
}

bool bd_wire_heartbeat(json_t *o, struct bd_heartbeat *out)
{
    memset(out, 0, sizeof *out);
    if (!json_is_object(o) || !bd_wire_label(o, "hearth", out->machine) ||
        !bd_wire_label(o, "endpoint", out->addr) || !bd_wire_label(o, "breed", out->type) ||
        !bd_wire_label(o, "glade", out->zone) || !bd_wire_flag(o, "windfall", &out->spot) ||
        !bd_wire_whole(o, "tenancy", &out->incarnation) || !bd_wire_whole(o, "tally", &out->seq) ||
        !bd_wire_whole(o, "seal", &out->fencing_token))
        return false;
    out->notice = -1;
    json_t *w = json_object_get(o, "warningS");
    if (!bd_wire_is_null(w) && !bd_wire_amount(o, "warningS", &out->notice))
        return false;
    json_t *a = json_object_get(o, "chores"), *v;
    if (!json_is_array(a))
        return false;
    out->tasks = calloc(json_array_size(a) + 1, sizeof *out->tasks);
    size_t i;
    json_array_foreach(a, i, v)
    {
        if (!out->tasks || !seen_task(v, &out->tasks[out->n])) {
            bd_wire_heartbeat_release(out);
            return false;
        }
        out->n++;
    }
    return out->tasks != NULL;
}

/* The name must stand there once only: as a key, since a quote inside a string is escaped. */
bool bd_wire_heartbeat_number(const char *text, size_t len, struct bd_heartbeat_number *out)
{
    static const char key[] = "\"tally\":";
    const size_t key_len = sizeof key - 1, digits_most = 18;
    const char *end = text + len, *p = memmem(text, len, key, key_len);
    if (!p || memmem(p + key_len, (size_t)(end - p) - key_len, key, key_len))
        return false;
    p += key_len;
    while (p < end && *p == ' ')
        p++;
    out->at = (size_t)(p - text);
    out->len = 0;
    out->value = 0;
    while (p + out->len < end && p[out->len] >= '0' && p[out->len] <= '9' &&
           out->len <= digits_most)
        out->value = out->value * 10 + (uint64_t)(p[out->len++] - '0');
    const char *after = p + out->len;
    bool whole = after < end && (*after == ',' || *after == '}' || *after == ' ');
    return out->len > 0 && out->len <= digits_most && (*p != '0' || out->len == 1) && whole;
}

void bd_wire_heartbeat_release(struct bd_heartbeat *heartbeat)
{
    free(heartbeat->tasks);
    heartbeat->tasks = NULL;
    heartbeat->n = 0;
}

char *bd_wire_commands(uint64_t fencing_token, uint64_t incarnation, const struct bd_command *o,
                       size_t n)
{
    size_t cap = 96 + n * 128, len = 0;
    char *buf = malloc(cap);
    if (!buf)
        return NULL;
    len += (size_t)snprintf(buf, cap, "{\"seal\":%llu,", (unsigned long long)fencing_token);
    if (incarnation)
        len += (size_t)snprintf(buf + len, cap - len, "\"tenancy\":%llu,",
                                (unsigned long long)incarnation);
    len += (size_t)snprintf(buf + len, cap - len, "\"bids\":[");
    for (size_t i = 0; i < n; i++) {
        /* a line break each: no line of an answer may pass 64 KiB */
        len += (size_t)snprintf(buf + len, cap - len,
                                "%s{\"verb\":\"%s\",\"chore\":\"%s/%u\",\"try\":%llu",
                                i ? ",\n" : "", verbs[o[i].verb], o[i].job, o[i].task,
                                (unsigned long long)o[i].attempt);
        if (o[i].verb == BD_COMMAND_HALT)
            len += (size_t)snprintf(buf + len, cap - len, ",\"mercyS\":%.3f", o[i].grace);
        len += (size_t)snprintf(buf + len, cap - len, "}");
    }
    snprintf(buf + len, cap - len, "]}");
    return buf;
}