/* The steps of scenarios for leadership: terms, peers, delegates and transactions. */
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

/* Reads receipt=JOB/PART:VALUE. Returns false if the word is not a receipt. */
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

/* Reads intent=JOB:ATTEMPT:MACHINE:TASK,TASK... Returns false if the word is not an intent. */
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
        json_pack("[[s,I,s,o]]", job, (json_int_t)scenario_parse_attempt(attempt), machine, tasks);
    json_array_append_new(acquisition->intents, json_pack("{s:s,s:{s:o},s:i}", "k", key, "value",
                                                          "e", entries, "mark", 1));
    return true;
}

static void step_leadership_acquired(struct scenario *scenario)
{
    struct bd_acquisition acquisition = {.term = strtoull(scenario->words[1], NULL, 10),
                                         .grant = SCENARIO_GRANT,
                                         .nonce = "n",
                                         .renewal_sent_at = scenario->core->now,
                                         .receipts = json_array(),
                                         .intents = json_array()};
    for (int i = 2; i < scenario->word_count; i++)
        if (!add_receipt(&acquisition, scenario->words[i]) &&
            !add_intent(&acquisition, scenario->words[i], i))
            scenario_fail(scenario, "neither receipt= nor intent=");
    bd_core_leadership_acquired(scenario->core, &acquisition);
    json_decref(acquisition.receipts);
    json_decref(acquisition.intents);
}

static void step_peer_status(struct scenario *scenario)
{
    uint8_t flags =
        scenario_find_number(scenario, "kv_reachable", 1) != 0 ? BD_PEER_KV_REACHABLE : 0;
    flags |=
        scenario_find_number(scenario, "hears_leader", 1) != 0 ? BD_PEER_RECEIVES_LEADER_STATUS : 0;
    flags |=
        scenario_find_number(scenario, "inbound_partition", 0) != 0 ? BD_PEER_INBOUND_PARTITION : 0;
    flags |= scenario_find_flag(scenario, "kv_lost") ? BD_PEER_KV_OUTAGE : 0;
    flags |=
        scenario_find_number(scenario, "knows_dag", 1) != 0 ? BD_PEER_SUPPORTS_DEPENDENCIES : 0;
    flags |= scenario_find_number(scenario, "knows_drains", 1) != 0 ? BD_PEER_SUPPORTS_DRAINS : 0;
    bd_peer_status_received(
        scenario->core, scenario->words[1], (uint64_t)scenario_find_number(scenario, "term", 0),
        flags, scenario_find_number(scenario, "kv_age_s", 0),
        scenario->core->wall_s - scenario_find_number(scenario, "sent_ago_s", 0),
        scenario->core->now);
}

static void step_leader_observed(struct scenario *scenario)
{
    const char *name = strcmp(scenario->words[1], "-") == 0 ? "" : scenario->words[1];
    bd_core_leader_observed(scenario->core, name, strtoull(scenario->words[2], NULL, 10),
                            scenario->core->now, scenario_find_flag(scenario, "dismissed"));
}

static void step_delegate_records_read(struct scenario *scenario)
{
    json_t *pairs = json_array();
    for (int i = 1; i < scenario->word_count; i++) {
        char key[64], names[256] = "";
        double revision = 0;
        if (parse_name_and_numbers(scenario->words[i], key, sizeof key, &revision, 1) != 1 ||
            sscanf(scenario->words[i], "%*[^:]:%*[^:]:%255s", names) != 1)
            scenario_fail(scenario, "delegates have the form KEY:REVISION:MACHINE,...");
        json_t *machines = json_array();
        for (char *rest = NULL, *machine = strtok_r(names, ",", &rest); machine;
             machine = strtok_r(NULL, ",", &rest))
            json_array_append_new(machines, json_string(machine));
        json_array_append_new(pairs, json_pack("{s:s,s:{s:i,s:o},s:i}", "k", key, "value", "t", 1,
                                               "m", machines, "mark", (int)revision));
    }
    bd_delegate_records_read(scenario->core, pairs, scenario->core->now);
    json_decref(pairs);
}

static void step_lead_until(struct scenario *scenario)
{
    double end_s = strtod(scenario->words[1], NULL),
           now_s = bd_to_secs(scenario->core->now) - SCENARIO_START_S;
    json_t *pairs = json_array();
    for (int i = 2; i < scenario->word_count; i++) {
        char node[64], key[BD_LABEL_BYTES + 8];
        double written_s = 0;
        if (parse_name_and_numbers(scenario->words[i], node, sizeof node, &written_s, 1) != 1)
            scenario_fail(scenario, "liveness records have the form NODE:SECONDS");
        snprintf(key, sizeof key, "p/%s/at", node);
        json_array_append_new(pairs, json_pack("{s:s,s:{s:f},s:i}", "k", key, "value", "at",
                                               SCENARIO_WALL_START_S + written_s, "mark", 1));
    }
    for (bool has_more = true; has_more;) {
        now_s = now_s + 2 < end_s ? now_s + 2 : end_s;
        has_more = now_s < end_s;
        bd_core_set_clock(scenario->core, bd_secs(SCENARIO_START_S + now_s),
                          SCENARIO_WALL_START_S + now_s);
        bd_leadership_lease_renewed(scenario->core, SCENARIO_GRANT, scenario->core->now);
        bd_delegate_records_read(scenario->core, pairs, scenario->core->now);
        bd_core_tick(scenario->core);
    }
    json_decref(pairs);
}

static void step_read_delegates_until(struct scenario *scenario)
{
    double end_s = strtod(scenario->words[1], NULL),
           now_s = bd_to_secs(scenario->core->now) - SCENARIO_START_S;
    json_t *no_records = json_array();
    now_s += 2;
    while (now_s < end_s) {
        bd_core_set_clock(scenario->core, bd_secs(SCENARIO_START_S + now_s),
                          SCENARIO_WALL_START_S + now_s);
        bd_delegate_records_read(scenario->core, no_records, scenario->core->now);
        now_s += 2;
    }
    bd_core_set_clock(scenario->core, bd_secs(SCENARIO_START_S + end_s),
                      SCENARIO_WALL_START_S + end_s);
    bd_delegate_records_read(scenario->core, no_records, scenario->core->now);
    json_decref(no_records);
}

static void step_delegate_txn_completed(struct scenario *scenario)
{
    bool is_revision_known = scenario->word_count < 3;
    bd_delegate_txn_completed(scenario->core, strtol(scenario->words[1], NULL, 10),
                              scenario_next_revision(scenario), scenario->core->now,
                              is_revision_known);
}

/* Guards against a misspelt outcome, which would be played as another one. Returns false if the
 * word is not an outcome. */
static bool parse_outcome(const char *word, enum bd_txn_outcome *outcome)
{
    static const struct {
        const char *word;
        enum bd_txn_outcome outcome;
    } outcomes[] = {{"committed", BD_TXN_COMMITTED},
                    {"deposed", BD_TXN_DEPOSED},
                    {"rejected", BD_TXN_REJECTED},
                    {"conflict", BD_TXN_CONFLICT}};
    for (size_t i = 0; i < sizeof outcomes / sizeof *outcomes; i++) {
        if (strcmp(word, outcomes[i].word) != 0)
            continue;
        *outcome = outcomes[i].outcome;
        return true;
    }
    return false;
}

static void step_leader_txn_completed(struct scenario *scenario)
{
    enum bd_txn_outcome outcome;
    if (!parse_outcome(scenario->words[1], &outcome)) {
        scenario_fail(scenario, "unknown outcome of a transaction");
        return;
    }
    json_t *failed = json_array();
    for (int i = 2; i < scenario->word_count; i++)
        json_array_append_new(failed, json_string(scenario->words[i]));
    if (!scenario->core->lead.commit)
        scenario_fail(scenario, "no leader transaction is in flight");
    bd_core_leader_txn_completed(scenario->core, outcome, scenario_next_revision(scenario), failed);
    json_decref(failed);
}

static void step_tick(struct scenario *scenario)
{
    bd_core_tick(scenario->core);
}

static void step_write_rate_exceeded(struct scenario *scenario)
{
    bd_kv_limits_rate_exceeded(scenario->core);
}

static void step_liveness_written(struct scenario *scenario)
{
    bd_liveness_record_written(scenario->core, scenario->core->now);
}

static void step_liveness_sent(struct scenario *scenario)
{
    bd_liveness_record_sent(scenario->core, scenario->core->now);
}

static void step_leadership_renewed(struct scenario *scenario)
{
    bd_leadership_lease_renewed(scenario->core, SCENARIO_GRANT, scenario->core->now);
}

static void step_leadership_lost(struct scenario *scenario)
{
    bd_leadership_lost(scenario->core);
}

static void step_expect_healthy(struct scenario *scenario)
{
    if (bd_leadership_is_healthy(scenario->core) != (parse_number(scenario->words[1]) != 0))
        scenario_fail(scenario, "GET /up would report otherwise");
}

bool scenario_run_leader_step(struct scenario *scenario)
{
    static const struct scenario_step steps[] = {
        {"leadership_acquired", 2, step_leadership_acquired},
        {"peer_status", 2, step_peer_status},
        {"leader_observed", 3, step_leader_observed},
        {"delegate_records_read", 1, step_delegate_records_read},
        {"lead_until", 2, step_lead_until},
        {"read_delegates_until", 2, step_read_delegates_until},
        {"delegate_txn_completed", 2, step_delegate_txn_completed},
        {"leader_txn_completed", 2, step_leader_txn_completed},
        {"tick", 1, step_tick},
        {"write_rate_exceeded", 1, step_write_rate_exceeded},
        {"liveness_written", 1, step_liveness_written},
        {"liveness_sent", 1, step_liveness_sent},
        {"leadership_renewed", 1, step_leadership_renewed},
        {"leadership_lost", 1, step_leadership_lost},
        {"expect_healthy", 2, step_expect_healthy}};
    return scenario_run_step(scenario, steps, sizeof steps / sizeof *steps);
}
