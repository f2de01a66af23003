/* The steps of scenarios that concern leadership: terms, peers, delegates and transactions. */
#include "base/timeutil.h"
#include "core/core.h"
#include "leadership/leadership.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "numbers.h"
#include "scenario_play.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* receipt=JOB:VALUE */
static bool add_receipt(struct bd_acquisition *acquisition, const char *word)
{
    char job[64], value[64], key[BD_LABEL_BYTES + 8];
    if (sscanf(word, "receipt=%63[^:]:%63s", job, value) != 2)
        return false;
    snprintf(key, sizeof key, "r/%s", job);
    json_array_append_new(acquisition->receipts,
                          json_pack("{s:s,s:{s:s},s:i}", "k", key, "value", "b", value, "mark", 1));
    return true;
}

/* intent=JOB:ATTEMPT:MACHINE:TASK,TASK... */
static bool add_intent(struct bd_acquisition *acquisition, const char *word, int number)
{
    char job[64], attempt[64], machine[64], list[256], key[32];
    if (sscanf(word, "intent=%63[^:]:%63[^:]:%63[^:]:%255s", job, attempt, machine, list) != 4)
        return false;
    json_t *tasks = json_array();
    for (char *rest = NULL, *task = strtok_r(list, ",", &rest); task;
         task = strtok_r(NULL, ",", &rest))
        json_array_append_new(tasks, json_integer(parse_number(task)));
    snprintf(key, sizeof key, "i/old-%d", number);
    json_t *entries =
        json_pack("[[s,I,s,o]]", job, (json_int_t)play_attempt(attempt), machine, tasks);
    json_array_append_new(acquisition->intents, json_pack("{s:s,s:{s:o},s:i}", "k", key, "value",
                                                          "e", entries, "mark", 1));
    return true;
}

static void step_gain(struct play *play)
{
    struct bd_acquisition acquisition = {.term = strtoull(play->words[1], NULL, 10),
                                         .grant = 7,
                                         .nonce = "n",
                                         .renewed = play->core->now,
                                         .receipts = json_array(),
                                         .intents = json_array()};
    for (int i = 2; i < play->nwords; i++)
        if (!add_receipt(&acquisition, play->words[i]) &&
            !add_intent(&acquisition, play->words[i], i))
            play_fail(play, "gain");
    bd_core_leadership_acquired(play->core, &acquisition);
    json_decref(acquisition.receipts);
    json_decref(acquisition.intents);
}

static void step_peer(struct play *play)
{
    uint8_t flags = play_number(play, "state", 1) != 0 ? BD_PEER_KV_REACHABLE : 0;
    flags |= play_number(play, "hears", 1) != 0 ? BD_PEER_HEARS_LEADER : 0;
    flags |= play_number(play, "deaf", 0) != 0 ? BD_PEER_INBOUND_PARTITION : 0;
    flags |= play_flag(play, "cut") ? BD_PEER_KV_LOST : 0;
    flags |= play_number(play, "deps", 1) != 0 ? BD_PEER_KNOWS_DAG : 0;
    flags |= play_number(play, "drains", 1) != 0 ? BD_PEER_KNOWS_DRAINS : 0;
    bd_peer_status_received(play->core, play->words[1], (uint64_t)play_number(play, "term", 0),
                            flags, play_number(play, "age", 0),
                            play->core->wall - play_number(play, "late", 0), play->core->now);
}

static void step_leader(struct play *play)
{
    const char *name = strcmp(play->words[1], "-") == 0 ? "" : play->words[1];
    bd_core_leader_observed(play->core, name, strtoull(play->words[2], NULL, 10), play->core->now,
                            play_flag(play, "away"));
}

static void step_delegates(struct play *play)
{
    json_t *pairs = json_array();
    for (int i = 1; i < play->nwords; i++) {
        char key[64], names[256] = "";
        double revision = 0;
        if (parse_name_and_numbers(play->words[i], key, sizeof key, &revision, 1) != 1 ||
            sscanf(play->words[i], "%*[^:]:%*[^:]:%255s", names) != 1)
            play_fail(play, "delegates");
        json_t *machines = json_array();
        for (char *rest = NULL, *machine = strtok_r(names, ",", &rest); machine;
             machine = strtok_r(NULL, ",", &rest))
            json_array_append_new(machines, json_string(machine));
        json_array_append_new(pairs, json_pack("{s:s,s:{s:i,s:o},s:i}", "k", key, "value", "t", 1,
                                               "m", machines, "mark", (int)revision));
    }
    bd_delegate_records_read(play->core, pairs, play->core->now);
    json_decref(pairs);
}

/* time passes until the first argument; the leader reads every two seconds when the other
 * controllers last wrote their liveness records */
static void step_liveness(struct play *play)
{
    double to = strtod(play->words[1], NULL), at = bd_to_secs(play->core->now) - 100;
    json_t *pairs = json_array();
    for (int i = 2; i < play->nwords; i++) {
        char node[64], key[BD_LABEL_BYTES + 8];
        double seen = 0;
        if (parse_name_and_numbers(play->words[i], node, sizeof node, &seen, 1) != 1)
            play_fail(play, "touched");
        snprintf(key, sizeof key, "p/%s/at", node);
        json_array_append_new(
            pairs, json_pack("{s:s,s:{s:f},s:i}", "k", key, "value", "at", 1000 + seen, "mark", 1));
    }
    for (bool more = true; more;) {
        at = at + 2 < to ? at + 2 : to;
        more = at < to;
        bd_core_set_clock(play->core, bd_secs(100 + at), 1000 + at);
        bd_leadership_renewed(play->core, 7, play->core->now);
        bd_delegate_records_read(play->core, pairs, play->core->now);
        bd_core_tick(play->core);
    }
    json_decref(pairs);
}

/* time passes with a refresh every two seconds that shows no delegate */
static void step_watch(struct play *play)
{
    double to = strtod(play->words[1], NULL), at = bd_to_secs(play->core->now) - 100;
    json_t *none = json_array();
    at += 2;
    while (at < to) {
        bd_core_set_clock(play->core, bd_secs(100 + at), 1000 + at);
        bd_delegate_records_read(play->core, none, play->core->now);
        at += 2;
    }
    bd_core_set_clock(play->core, bd_secs(100 + to), 1000 + to);
    bd_delegate_records_read(play->core, none, play->core->now);
    json_decref(none);
}

static void step_delegatecommitted(struct play *play)
{
    bool known = play->nwords < 3;
    bd_delegate_txn_completed(play->core, strtol(play->words[1], NULL, 10),
                              play_next_revision(play), play->core->now, known);
}

static void step_committed(struct play *play)
{
    json_t *failed = json_array();
    for (int i = 2; i < play->nwords; i++)
        json_array_append_new(failed, json_string(play->words[i]));
    enum bd_txn_outcome outcome = strcmp(play->words[1], "ok") == 0      ? BD_TXN_COMMITTED
                                  : strcmp(play->words[1], "lost") == 0  ? BD_TXN_DEPOSED
                                  : strcmp(play->words[1], "large") == 0 ? BD_TXN_REJECTED
                                                                         : BD_TXN_CONFLICT;
    if (!play->core->lead.commit)
        play_fail(play, "nothing is being committed");
    bd_core_leader_txn_completed(play->core, outcome, play_next_revision(play), failed);
    json_decref(failed);
}

static void step_tick(struct play *play)
{
    bd_core_tick(play->core);
}

static void step_busy(struct play *play)
{
    bd_kv_limits_rate_exceeded(play->core);
}

static void step_confirmed(struct play *play)
{
    bd_liveness_written(play->core, play->core->now);
}

static void step_offered(struct play *play)
{
    bd_liveness_sent(play->core, play->core->now);
}

static void step_renew(struct play *play)
{
    bd_leadership_renewed(play->core, 7, play->core->now);
}

static void step_lose(struct play *play)
{
    bd_leadership_lost(play->core);
}

static void step_up(struct play *play)
{
    if (bd_leadership_is_healthy(play->core) != (parse_number(play->words[1]) != 0))
        play_fail(play, "up is otherwise");
}

bool play_leader_step(struct play *play)
{
    static const struct play_step steps[] = {{"gain", 2, step_gain},
                                             {"peer", 2, step_peer},
                                             {"leader", 3, step_leader},
                                             {"delegates", 1, step_delegates},
                                             {"touched", 2, step_liveness},
                                             {"watch", 2, step_watch},
                                             {"delegatecommitted", 2, step_delegatecommitted},
                                             {"committed", 2, step_committed},
                                             {"tick", 1, step_tick},
                                             {"busy", 1, step_busy},
                                             {"confirmed", 1, step_confirmed},
                                             {"offered", 1, step_offered},
                                             {"renew", 1, step_renew},
                                             {"lose", 1, step_lose},
                                             {"up", 2, step_up}};
    return play_run_step(play, steps, sizeof steps / sizeof *steps);
}
