/* Delegates: a follower whose workers cannot reach the leader (their zone is cut off from it)
 * answers their reports in its stead, so that their leases go on and their work survives.
 *
 * What makes it safe: a delegate writes the machines it answers into its own record, conditional on
 * the leader's term, before it answers them, confirms the record every BEAT_S and stops
 * DEPUTY_FRESH_S after the last confirmation was sent. A machine stays in the record for keep_s
 * after its last answer. The leader looks at all records; it never counts a lease as over while
 * a refresh shows the machine, nor before a refresh begun after the lease's end. It drops the
 * record of a delegate that no longer confirms. A delegate gives no command but halts of cancelled
 * jobs.
 *
 * While nobody leads, the record is conditional on the leader's key being absent, and answers go on
 * with the last term's token: a new leader counts with answers until DEPUTY_FRESH_S after its gain,
 * and no such record is written once it has its key. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/delegate_state.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/peers.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "workers/commands.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* named defaults */
#define CONFIRM_S 0.5
#define KEEP_MIN_S 3.0
#define RECORD_SHARE 0.9 /* of the largest value that the state service takes */
#define NAME_BYTES 3u    /* of a machine in it, beside its name */
#define TXN_BYTES 56000u /* of a transaction, of which the limit is 64 KiB */
#define RECORD_HEAD 64u  /* bytes of the record beside the machines' names */
#define ASK_S 2.4        /* a worker waits so long for the record; it gives up after 4 s */
#define AGAIN_S 0.15     /* after a refused write: the leader's key is looked at about as often */
#define PROBE_S 6.0      /* before a probe is sent, and after one came back */
#define SOON_S 1.5       /* ... when no other controller is heard at all */
#define CONSOLIDATE_INTERVAL_S 2.5    /* in which the workers of one batch are sent */
#define PATIENT_S 40.0                /* then one with tasks may be sent too */
#define AUTONOMOUS_LOG_INTERVAL_S 5.0 /* between lines of the log about those we stand by for */
#define WORKER_WAITS_S 4.0            /* the platform's: a worker waits so long for an answer, */
#define WORKER_PAUSE_S 1.0            /* and goes to the next node after this */

struct bd_waiting_heartbeat {
    void *request;
    struct bd_heartbeat *heartbeat;
    struct timespec asked;
    struct bd_waiting_heartbeat *next;
};

/* Longer than a worker's pause between two reports: one that left the record in between would be
 * new to it each time. */
static double keep_s(const struct bd_core *core)
{
    double s = 1.25 * bd_to_secs(core->settings->heartbeat_interval) + 2.0;
    return s > KEEP_MIN_S ? s : KEEP_MIN_S;
}

static void key_of(const struct bd_core *core, char *key, size_t cap)
{
    snprintf(key, cap, "p/%.60s", core->settings->node);
}

static bool leader_silent(const struct bd_core *core)
{
    int i = bd_leader_index(core);
    return i >= 0 && bd_between(core->peers[i].heard, core->now) > LEADER_SILENT_S;
}

/* Nobody leads: the last one has died, the next is not chosen yet. */
static bool leaderless(const struct bd_core *core)
{
    return !*core->leader_name && !core->leader_term && core->last_term;
}

void bd_delegate_dismissed(struct bd_core *core, bool dismissed, uint64_t revision,
                           struct timespec sent)
{
    struct bd_delegate *delegate = &core->delegate;
    if (dismissed && (!delegate->dismissed || revision != delegate->dismissed_at)) {
        delegate->dismissed_at = revision;
        delegate->dismissed_since = sent;
    }
    delegate->dismissed = dismissed;
}

/* What the leader says of us holds until we have heard it once more: a silence after that is
 * another one. Just after a change of leaders the record of a delegate that needed to be one still
 * stands, and the new leader takes it for needless; a cut half a minute later would find no
 * delegate, and all leases of the zone would end. */
static bool needless(const struct bd_core *core)
{
    int i = bd_leader_index(core);
    bool heard = i >= 0 && bd_before(core->delegate.dismissed_since, core->peers[i].heard);
    return core->delegate.dismissed && !heard;
}

/* By a fresh view somebody else leads, and we do not hear of it; or nobody does. Workers sent
 * round then would find nobody either, and in a cut zone half of the nodes would let them hang. */
static bool called_for(const struct bd_core *core)
{
    bool other = *core->leader_name && core->leader_term && leader_silent(core);
    return core->role == BD_FOLLOWER && !needless(core) && (other || leaderless(core)) &&
           bd_between(core->leader_seen, core->now) < BD_DELEGATE_FRESH_S;
}

/* Machines that one part of the record can name, by the longest name there is room for so far. */
static uint32_t part_holds(const struct bd_core *core)
{
    double n = (RECORD_SHARE * (double)core->kv_limits.kv_value_bytes_max - RECORD_HEAD) /
               (double)(core->delegate.longest + NAME_BYTES);
    return n < 1 ? 1 : (uint32_t)n;
}

/* They are written together: no more than one transaction takes. */
static uint32_t most_parts(const struct bd_core *core)
{
    return core->kv_limits.kv_txn_ops_max < BD_DELEGATE_PARTS
               ? (uint32_t)core->kv_limits.kv_txn_ops_max
               : BD_DELEGATE_PARTS;
}

/* Machines that the record can name: what its parts hold, and what one transaction takes in all. */
static uint32_t most_machines(const struct bd_core *core)
{
    uint32_t parts = part_holds(core) * most_parts(core);
    uint32_t whole = (uint32_t)(TXN_BYTES / (core->delegate.longest + NAME_BYTES));
    return parts < whole ? parts : whole;
}

/* Whether the record has room for one more name; else the worker is sent on. */
static bool record_takes(struct bd_core *core, const char *id)
{
    struct bd_delegate *delegate = &core->delegate;
    size_t len = strlen(id);
    delegate->longest = len > delegate->longest ? len : delegate->longest;
    if (delegate->nserved < most_machines(core) &&
        len + RECORD_HEAD < core->kv_limits.kv_value_bytes_max)
        return true;
    bd_log_write(core->log, BD_LOG_ERROR, "the delegate record is full with %u machines",
                 delegate->nserved);
    return false;
}

static struct bd_served *served_of(struct bd_core *core, const char *id, bool add)
{
    struct bd_delegate *delegate = &core->delegate;
    struct bd_served *known = NULL;
    HASH_FIND_STR(delegate->served, id, known);
    if (known || !add || !record_takes(core, id))
        return known;
    struct bd_served *k = calloc(1, sizeof *k);
    if (!k)
        return NULL;
    snprintf(k->id, sizeof k->id, "%s", id);
    k->heard = core->now;
    HASH_ADD_STR(delegate->served, id, k);
    delegate->nserved++;
    return k;
}

static void served_drop(struct bd_delegate *delegate, struct bd_served *k)
{
    HASH_DEL(delegate->served, k);
    free(k);
    delegate->nserved--;
    if (delegate->nserved == 0)
        delegate->longest = 0;
}

void bd_delegate_forget(struct bd_core *core)
{
    struct bd_served *k, *tmp;
    HASH_ITER(hh, core->delegate.served, k, tmp)
    {
        served_drop(&core->delegate, k);
    }
}

/* ---- our own record ---- */

/* Several hundred machines do not fit one value: the parts are written together. `next` is the
 * first machine that no part names yet. */
static void set_part(struct bd_core *core, struct bd_txn *txn, uint32_t part, uint32_t each,
                     struct bd_served **next)
{
    struct bd_delegate *delegate = &core->delegate;
    char key[BD_LABEL + 16];
    json_t *names = json_array();
    key_of(core, key, BD_LABEL);
    if (part > 0)
        snprintf(key + strlen(key), 16, "/%u", part);
    for (uint32_t n = 0; n < each && *next; n++) {
        json_array_append_new(names, json_string((*next)->id));
        (*next)->sent = true;
        *next = (*next)->hh.next;
    }
    bd_txn_put(txn, key, json_pack("{s:I,s:o}", "t", (json_int_t)delegate->term, "m", names), 0);
}

/* The limits were lowered: who is not in the record is sent on. */
static void keep_only(struct bd_delegate *delegate, uint32_t most)
{
    struct bd_served *k, *tmp;
    uint32_t n = 0;
    HASH_ITER(hh, delegate->served, k, tmp)
    {
        if (n++ >= most)
            served_drop(delegate, k);
    }
}

static void write_record(struct bd_core *core)
{
    struct bd_delegate *delegate = &core->delegate;
    struct bd_txn t;
    char key[BD_LABEL];
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_DELEGATE_TXN);
    key_of(core, key, sizeof key);
    snprintf(effect->key, sizeof effect->key, "%s", key);
    delegate->busy = true;
    delegate->next_confirm = bd_add(core->now, bd_secs(CONFIRM_S));
    if (!delegate->revision_known)
        return; /* an earlier process's record may stand: its revision first */
    delegate->term = core->leader_term ? core->leader_term : core->last_term;
    delegate->leader = core->leader_term;
    if (!bd_txn_begin(&t))
        abort();
    bd_txn_compare(&t, "leader", delegate->leader);
    bd_txn_compare(&t, key, delegate->revision);
    keep_only(delegate, most_machines(core));
    uint32_t each = part_holds(core), parts = (delegate->nserved + each - 1) / each;
    delegate->parts = delegate->parts < most_parts(core) ? delegate->parts : most_parts(core);
    /* a part that is needed no more is written empty, so that it names nobody */
    delegate->parts = parts > delegate->parts ? parts : delegate->parts ? delegate->parts : 1;
    struct bd_served *next = delegate->served;
    for (uint32_t part = 0; part < delegate->parts; part++)
        set_part(core, &t, part, each, &next);
    effect->body = bd_txn_finish(&t);
}

/* The record is written by other means than the records of jobs are read: both must be new. */
static bool may_answer(const struct bd_core *core)
{
    return bd_before(core->now, core->delegate.confirmed_until) && bd_may_renew_leases(core);
}

/* The first answer to each machine of our record; of those that we stand by for, one at a time. */
static void log_first_reply(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                            uint64_t fencing_token, struct bd_served *served)
{
    struct timespec *said = &core->decision_log.autonomous_logged_at;
    if (served ? served->answered : bd_between(*said, core->now) < AUTONOMOUS_LOG_INTERVAL_S)
        return;
    if (served)
        served->answered = true;
    else
        *said = core->now;
    bd_decision_log_note(
        core, "lease_renewed",
        "machine=%s by=%s incarnation=%llu heartbeat=%llu token_seen=%llu term=%llu "
        "refreshed_s=%.2f",
        heartbeat->machine, served ? "delegate" : "autonomous_zone",
        (unsigned long long)heartbeat->incarnation, (unsigned long long)heartbeat->seq,
        (unsigned long long)heartbeat->fencing_token, (unsigned long long)fencing_token,
        bd_between(core->replica.refreshed_at, core->now));
}

/* `served`: its entry in our record; NULL: we stand by. */
static void answer(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                   uint64_t fencing_token, struct bd_served *served)
{
    struct bd_command_list commands = {0};
    log_first_reply(core, heartbeat, fencing_token, served);
    bd_commands_reply(core, request, heartbeat, &commands, fencing_token);
    free(commands.items);
}

/* Answers who asked; those who came while the record was being written wait for the next one. */
static void answer_asking(struct bd_core *core, bool all)
{
    struct bd_waiting_heartbeat *w = core->delegate.asking;
    core->delegate.asking = NULL;
    while (w) {
        struct bd_waiting_heartbeat *next = w->next;
        struct bd_served *k = served_of(core, w->heartbeat->machine, false);
        bool ready = k && k->confirmed && may_answer(core);
        bool stands_by = !ready && bd_autonomous_zone_may_reply(core, w->heartbeat);
        bool waits = (k && !all) || bd_autonomous_zone_is_local(core, w->heartbeat);
        if (!ready && !stands_by && waits && bd_between(w->asked, core->now) < ASK_S) {
            w->next = core->delegate.asking;
            core->delegate.asking = w;
            w = next;
            continue;
        }
        if (ready || stands_by)
            answer(core, w->request, w->heartbeat, ready ? core->delegate.term : core->last_term,
                   ready ? k : NULL);
        else
            bd_effect_reply(core, w->request, 421, bd_wire_redirect(""), 0);
        bd_heartbeat_free(w->heartbeat);
        free(w);
        w = next;
    }
}

void bd_delegate_txn_completed(struct bd_core *core, long status, uint64_t store_revision,
                               struct timespec sent, bool revision_known)
{
    struct bd_delegate *delegate = &core->delegate;
    delegate->busy = false;
    delegate->revision_known = revision_known;
    if (revision_known)
        delegate->revision = store_revision;
    if (status == 200) {
        delegate->confirmed_until =
            bd_add(sent, bd_secs(BD_DELEGATE_FRESH_S * (1 - BD_CLOCK_DRIFT)));
        for (struct bd_served *k = delegate->served; k; k = k->hh.next)
            k->confirmed |= k->sent;
    }
    if (status == 0 && revision_known) { /* now the record itself */
        delegate->next_confirm = core->now;
        return;
    }
    if (status == 400)
        (void)bd_kv_limits_rejected(core, "the delegate's record");
    if (status != 200)
        bd_log_write(core->log, BD_LOG_INFO, "the delegate record was not written: status %ld",
                     status);
    /* a leader's key that was only rewritten is no reason to send the workers round */
    answer_asking(core, status != 200 && status != 409);
    if (delegate->asking)
        delegate->next_confirm = status == 200 ? core->now : bd_add(core->now, bd_secs(AGAIN_S));
}

void bd_delegate_end(struct bd_core *core)
{
    core->delegate.confirmed_until = (struct timespec){0, 0};
    answer_asking(core, true);
    bd_delegate_forget(core);
}

void bd_delegate_tick(struct bd_core *core)
{
    struct bd_delegate *delegate = &core->delegate;
    if (delegate->asking)
        answer_asking(core, false);
    bool had = delegate->nserved > 0;
    struct bd_served *k, *tmp;
    HASH_ITER(hh, delegate->served, k, tmp)
    {
        if (!delegate->busy && bd_between(k->heard, core->now) > keep_s(core))
            served_drop(delegate, k);
    }
    /* the last one's going is written too, so that the leader need not wait for the record */
    if (!had || delegate->busy ||
        (delegate->nserved > 0 && bd_before(core->now, delegate->next_confirm)))
        return;
    /* with the leader in view again nobody is answered, but the record stands for keep_s */
    if ((core->leader_term || leaderless(core)) &&
        bd_between(core->leader_seen, core->now) < BD_DELEGATE_FRESH_S)
        write_record(core);
    else if (delegate->asking)
        answer_asking(core, true);
}

/* The longest way round for a worker: every other node hangs, and a pause after each. */
static double way_back_s(const struct bd_core *core)
{
    return core->settings->npeers * (WORKER_WAITS_S + WORKER_PAUSE_S) + 2.0;
}

/* Not even the others of our own zone are heard: it is not the zone that is cut off. Connections
 * between the controllers may be refused while the workers reach them all. */
static bool nobody_heard(const struct bd_core *core)
{
    bool mates = false;
    for (int i = 0; i < core->settings->npeers; i++) {
        mates |= bd_peer_is_local(core, i);
        if (bd_peer_heard(core, i, LEADER_SILENT_S))
            return false;
    }
    return mates;
}

static bool may_go(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    const struct bd_delegate *delegate = &core->delegate;
    return heartbeat->n == 0 || bd_to_secs(core->settings->lease) > way_back_s(core) ||
           delegate->batch > 1 ||
           bd_between(delegate->since, core->now) > (nobody_heard(core) ? SOON_S : PATIENT_S);
}

static bool send_probe(struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    if (!may_go(core, heartbeat) || delegate->nprobes == BD_PROBES)
        return false;
    snprintf(delegate->probes[delegate->nprobes++], BD_LABEL, "%s", heartbeat->machine);
    return true;
}

static bool came_back(const struct bd_delegate *delegate, const struct bd_heartbeat *heartbeat)
{
    for (uint32_t i = 0; i < delegate->nprobes; i++)
        if (strcmp(delegate->probes[i], heartbeat->machine) == 0)
            return true;
    return false;
}

/* We may be the one who is cut off from the leader, and the workers not: then they would be kept
 * from it for nothing. So one with nothing to lose is sent to it; if it does not come back, two
 * more, and so on. A worker may stay away for another reason (its machine went back), which is why
 * not all are sent at once. True: this one goes. */
static bool try_leader(struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    double ago = bd_between(delegate->probes_at, core->now);
    if (delegate->nserved == 0) {
        delegate->nprobes = 0;
        delegate->batch = 1;
        delegate->probes_at = delegate->since = core->now;
        return false;
    }
    if (came_back(delegate, heartbeat)) {
        delegate->nprobes = 0;
        delegate->batch = 1;
        delegate->probes_at = core->now;
        return false;
    }
    if (delegate->nprobes > 0 && ago <= way_back_s(core))
        return delegate->nprobes < delegate->batch && ago < CONSOLIDATE_INTERVAL_S &&
               send_probe(core, heartbeat);
    if (delegate->nprobes > 0) {
        bd_log_write(core->log, BD_LOG_INFO, "%u workers reach %s, which this node does not hear",
                     delegate->nprobes, core->leader_name);
        delegate->batch = delegate->batch * 2 < BD_PROBES ? delegate->batch * 2 : BD_PROBES;
        delegate->nprobes = 0;
    } else if (ago < (nobody_heard(core) ? SOON_S : PROBE_S)) {
        return false;
    }
    if (!send_probe(core, heartbeat))
        return false;
    delegate->probes_at = core->now;
    return true;
}

/* Whether another controller of our zone does not hear the leader either: then the zone is cut off
 * from it, not we alone. */
static bool zone_cut(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_is_local(core, i) && i != bd_leader_index(core) &&
            core->peers[i].flags & BD_PEER_KV_REACHABLE &&
            !(core->peers[i].flags & BD_PEER_HEARS_LEADER) &&
            bd_peer_heard(core, i, LEADER_SILENT_S))
            return true;
    return false;
}

static void let_wait(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat)
{
    struct bd_waiting_heartbeat *w = calloc(1, sizeof *w);
    if (!w)
        abort();
    w->request = request;
    w->heartbeat = bd_heartbeat_copy(heartbeat);
    w->asked = core->now;
    w->next = core->delegate.asking;
    core->delegate.asking = w;
}

/* True if the report was answered, or will be once the record is confirmed or we stand by. */
bool bd_delegate_heartbeat(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    if (bd_autonomous_zone_may_reply(core, heartbeat)) {
        answer(core, request, heartbeat, core->last_term, NULL);
        return true;
    }
    if (!called_for(core)) {
        bool near = bd_autonomous_zone_is_local(core, heartbeat);
        if (near)
            let_wait(core, request, heartbeat);
        return near;
    }
    if (!leaderless(core) && !zone_cut(core) && try_leader(core, heartbeat))
        return false;
    struct bd_served *k = served_of(core, heartbeat->machine, true);
    if (!k)
        return false;
    k->heard = core->now;
    if (k->confirmed && delegate->leader == core->leader_term && may_answer(core)) {
        answer(core, request, heartbeat, delegate->term, k);
        return true;
    }
    let_wait(core, request, heartbeat);
    if (delegate->nserved == 1)
        bd_log_write(core->log, BD_LOG_INFO, "acts as delegate: %s is not heard; first worker %s",
                     core->leader_name, heartbeat->machine);
    delegate->next_confirm = core->now;
    return true;
}