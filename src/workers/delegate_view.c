/* The leader's view of the delegates' records. Part of the pure core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <string.h>

#define AWAY_S 30.0 /* a dismissed delegate is named so long in the leader's key */
#define AGAIN_S 8.0 /* then the key is rewritten, if its workers still come here */
#define STALE_S 5.0
#define GAP_S 2.5 /* between refreshes: shorter than keep_s, so that none can slip through */

/* ---- the leader's view ---- */

static struct bd_delegate_seen *seen_of(struct bd_core *core, const char *key)
{
    for (int i = 0; i < core->delegates.count; i++)
        if (strcmp(core->delegates.seen[i].key, key) == 0)
            return &core->delegates.seen[i];
    if (core->delegates.count == (int)(sizeof core->delegates.seen / sizeof *core->delegates.seen))
        return NULL;
    struct bd_delegate_seen *s = &core->delegates.seen[core->delegates.count++];
    memset(s, 0, sizeof *s);
    snprintf(s->key, sizeof s->key, "%s", key);
    return s;
}

static void read_record(struct bd_core *core, const struct bd_change *ch)
{
    json_t *v;
    size_t i;
    const char *tail = strchr(ch->key + 2, '/');
    if (tail && strcmp(tail, "/at") == 0) {
        char node[BD_LABEL];
        snprintf(node, sizeof node, "%.*s", (int)(tail - ch->key - 2), ch->key + 2);
        bd_autonomous_zone_liveness_record(core, node,
                                           json_number_value(json_object_get(ch->value, "at")));
        return;
    }
    struct bd_delegate_seen *s = seen_of(core, ch->key + 2);
    if (s && ch->revision != s->revision) {
        s->revision = ch->revision;
        s->changed = core->now;
    }
    if (s && bd_between(s->changed, core->now) > STALE_S)
        snprintf(core->delegates.stale, sizeof core->delegates.stale, "%s", ch->key);
    json_array_foreach(json_object_get(ch->value, "m"), i, v)
    {
        struct bd_machine *machine = NULL;
        const char *id = json_string_value(v);
        if (id)
            HASH_FIND_STR(core->machines, id, machine);
        if (machine)
            machine->delegated = true;
        if (machine && s)
            machine->delegate = (int)(s - core->delegates.seen);
    }
}

/* A worker out of a delegate's record reports to the leader itself: the two controllers do not hear
 * each other, but the workers are not cut off. The delegate is told so by the leader's key, which
 * it looks at; its workers then come. */
void bd_delegate_not_needed(struct bd_core *core, const struct bd_machine *machine)
{
    if (machine->delegate >= core->delegates.count)
        return;
    struct bd_delegate_seen *s = &core->delegates.seen[machine->delegate];
    bool first = bd_is_zero(s->dismissed) || bd_between(s->dismissed, core->now) > AWAY_S;
    /* it may have heard us meanwhile, and what the key says of it be over */
    if (first || bd_between(s->named, core->now) > AGAIN_S) {
        s->named = core->now;
        bd_log_write(core->log, BD_LOG_INFO, "delegate %s is not needed: %s reports here", s->key,
                     machine->id);
        core->lead.token_raise_wanted = true;
    }
    s->dismissed = core->now;
}

/* For the leader's key; the caller owns the list. */
json_t *bd_delegates_dismissed(const struct bd_core *core)
{
    json_t *list = json_array();
    for (int i = 0; i < core->delegates.count; i++)
        if (!bd_is_zero(core->delegates.seen[i].dismissed) &&
            bd_between(core->delegates.seen[i].dismissed, core->now) < AWAY_S)
            (void)json_array_append_new(list,
                                        json_stringn(core->delegates.seen[i].key,
                                                     strcspn(core->delegates.seen[i].key, "/")));
    return list;
}

void bd_delegate_records_read(struct bd_core *core, json_t *pairs, struct timespec sent)
{
    struct bd_change ch;
    json_t *v;
    size_t i;
    if (core->role != BD_LEADER)
        return;
    bool gap = bd_between(core->delegates.read_at, sent) > GAP_S;
    struct timespec end = bd_lease_expiry(core, bd_add(core->now, bd_secs(BD_DELEGATE_FRESH_S)));
    for (uint32_t k = 0; k < core->nmachines; k++) {
        struct bd_machine *machine = core->by_index[k];
        if (machine->delegated ||
            gap) /* it may have been answered until now, and a little longer */
            machine->lease_expires_at = bd_max(machine->lease_expires_at, end);
        machine->delegated = false;
    }
    json_array_foreach(pairs, i, v)
    {
        if (bd_wire_change(v, &ch) && strncmp(ch.key, "p/", 2) == 0)
            read_record(core, &ch);
    }
    for (uint32_t k = 0; k < core->nmachines; k++)
        if (core->by_index[k]->delegated)
            core->by_index[k]->lease_expires_at = bd_max(core->by_index[k]->lease_expires_at, end);
    core->delegates.read_at = sent;
}