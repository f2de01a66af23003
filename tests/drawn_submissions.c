/* Drawn submissions against the pure core. */
#include "base/json_reader.h"
#include "base/json_writer.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "drawn_requests.h"
#include "jobs/jobs.h"
#include "model/catalog.h"
#include "model/effect.h"
#include "test_settings.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIME_S 1000.0
#define STORE_REVISION UINT64_C(18446744073709551000) /* beyond 63 bits */
#define MANY_TYPES 200

static const struct bd_log silent_log = {BD_LOG_ERROR, "drawn"};

/* A controller that accepts jobs. */
static struct bd_core *new_core(struct bd_settings *settings)
{
    struct bd_machine_type_text types[2] = {
        {.label = "small", .cpus = 8, .mem_gb = 64, .price = 1, .zone_count = 2},
        {.label = "gpu", .cpus = 16, .gpus = 4, .mem_gb = 64, .price = 9, .zone_count = 2}};
    test_settings_init(settings);
    settings->nteams = 1;
    snprintf(settings->teams[0].name, sizeof settings->teams[0].name, "rider-app");
    settings->teams[0].cpus_quota = 400;
    settings->teams[0].gpus_quota = 40;
    for (int i = 0; i < 2; i++) {
        snprintf(types[i].zones[0], BD_LABEL_BYTES, "a");
        snprintf(types[i].zones[1], BD_LABEL_BYTES, "b");
    }
    struct bd_core *core = bd_core_new(settings, &silent_log);
    if (!core)
        abort();
    bd_core_set_clock(core, bd_secs(TIME_S), TIME_S);
    bd_inventory_types_received(core, types, 2);
    bd_replica_listed(core, STORE_REVISION, core->now);
    bd_replica_refreshed(core, STORE_REVISION, STORE_REVISION + 1, core->now, false, true);
    return core;
}

/* Takes the effects, and returns the first of the kind, which the caller frees. NULL: none. */
static struct bd_effect *take_effect(struct bd_core *core, enum bd_effect_kind kind)
{
    struct bd_effect *effect = bd_effects_take(core), *found = NULL;
    while (effect) {
        struct bd_effect *next = effect->next;
        if (!found && effect->kind == kind)
            found = effect;
        else
            bd_effect_free(effect);
        effect = next;
    }
    return found;
}

/* Completes the read barrier for which some replies wait. */
static void complete_barrier(struct bd_core *core)
{
    bd_core_tick(core);
    if (core->replica.barrier_in_flight)
        bd_replica_refreshed(core, STORE_REVISION, STORE_REVISION + 1, core->now, true, true);
}

/* What a submission led to. */
struct outcome {
    char *txn;  /* owned; NULL: none */
    int status; /* of the reply; 0: none */
    char *body; /* owned: of the reply */
};

static struct outcome submit(struct bd_core *core, const char *text)
{
    struct outcome outcome = {0};
    bd_user_submit(core, NULL, text, strlen(text));
    struct bd_effect *effect = core->first_effect;
    bool is_txn = effect && effect->kind == BD_EFFECT_USER_TXN;
    bool is_reply = effect && effect->kind == BD_EFFECT_REPLY;
    if (is_txn) {
        effect = take_effect(core, BD_EFFECT_USER_TXN);
        outcome.txn = strdup(effect->body);
        bd_user_txn_completed(core, NULL, effect->key, effect->body, effect->purpose, 200,
                              STORE_REVISION + 5);
        bd_effect_free(effect);
    } else if (!is_reply) {
        complete_barrier(core);
    }
    effect = take_effect(core, BD_EFFECT_REPLY);
    if (effect) {
        outcome.status = effect->status;
        outcome.body = effect->body;
        effect->body = NULL;
        bd_effect_free(effect);
    }
    return outcome;
}

static void free_outcome(struct outcome *outcome)
{
    free(outcome->txn);
    free(outcome->body);
}

static bool is_same(const char *a, const char *b)
{
    return (!a && !b) || (a && b && strcmp(a, b) == 0);
}

/* ---- sound submissions ---- */

static json_t *draw_types(struct spelling *spelling)
{
    uint64_t kind = spelling_draw(spelling, 4);
    if (kind == 0)
        return json_null();
    json_t *types = json_array();
    uint64_t others = kind == 1 ? MANY_TYPES : kind;
    for (uint64_t i = 0; i < others; i++) {
        char label[32];
        snprintf(label, sizeof label, "type-%llu", (unsigned long long)i);
        json_array_append_new(types, json_string(label));
    }
    json_array_append_new(types, json_string("small"));
    return types;
}

static double draw_amount(struct spelling *spelling)
{
    static const double amounts[] = {0.0, 0.1, 1.0, 2.8, 0.25, 7.5, 1.0 / 3, 4.0};
    return amounts[spelling_draw(spelling, sizeof amounts / sizeof *amounts)];
}

/* A job that can run. */
static json_t *draw_submission(struct spelling *spelling)
{
    static const char *const kinds[] = {"sweep", "gang", "service"};
    static const char *const priorities[] = {"idle", "standard", "high", "production"};
    char id[32];
    snprintf(id, sizeof id, "job-%06llu", (unsigned long long)spelling_draw(spelling, 1000000));
    json_t *zone = spelling_draw(spelling, 2) ? json_null() : json_string("a");
    json_t *deadline = spelling_draw(spelling, 2) ? json_null() : json_real(draw_amount(spelling));
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:o,s:o,s:b,s:b,s:b,s:f,s:f,s:f,s:o,s:n}",
        "id", id, "kin", drawn_name(spelling), "household", "rider-app", "shape",
        kinds[spelling_draw(spelling, 3)], "rank", priorities[spelling_draw(spelling, 4)], "chores",
        (int)(1 + spelling_draw(spelling, 12)), "vcpus", draw_amount(spelling), "accelerators", 0.0,
        "memGb", draw_amount(spelling), "seed", drawn_name(spelling), "imageGb",
        draw_amount(spelling), "breeds", draw_types(spelling), "glade", zone, "together",
        (int)spelling_draw(spelling, 2), "scatter", 0, "windfall", (int)spelling_draw(spelling, 2),
        "guessS", draw_amount(spelling), "markS", draw_amount(spelling), "stowS",
        draw_amount(spelling), "dueS", deadline, "awaits");
}

/* Whether an older controller, whose buffers hold labels, reads the job's record. */
static bool is_readable_by_older(const char *txn)
{
    json_t *read = bd_json_read(txn, strcspn(txn, "\n"), NULL, NULL), *type;
    json_t *operation = json_array_get(json_object_get(read, "apply"), 0);
    json_t *spec = json_object_get(json_object_get(operation, "value"), "job");
    json_t *types = json_object_get(spec, "breeds");
    bool is_readable = json_string_length(json_object_get(spec, "kin")) < BD_LABEL_BYTES &&
                       json_string_length(json_object_get(spec, "seed")) < BD_LABEL_BYTES &&
                       json_array_size(types) <= BD_TYPES_MAX;
    size_t i;
    json_array_foreach(types, i, type)
    {
        is_readable = is_readable && json_string_length(type) < BD_LABEL_BYTES;
    }
    json_decref(read);
    return is_readable;
}

/* Guards against a sound submission that is refused, or becomes another job than its plain form. */
static void check_sound(struct spelling *spelling, json_t *submission)
{
    struct bd_settings plain_settings = {0}, drawn_settings = {0};
    struct bd_core *plain_core = new_core(&plain_settings), *core = new_core(&drawn_settings);
    char *plain_text = bd_json_write(submission), *text = spelling_write(spelling, submission);
    struct outcome plain = submit(plain_core, plain_text), drawn = submit(core, text);
    drawn_check(drawn.status == 201 && drawn.txn, "a sound submission is accepted", text);
    drawn_check(drawn.status == plain.status && is_same(drawn.body, plain.body) &&
                    is_same(drawn.txn, plain.txn),
                "its record and answer are those of its plain form", text);
    drawn_check(drawn.txn && is_readable_by_older(drawn.txn),
                "an older controller reads its record", text);
    unsigned jobs = HASH_COUNT(core->jobs);
    char *repeated_text = spelling_write(spelling, submission);
    struct outcome repeated = submit(core, repeated_text);
    drawn_check(repeated.status == 200 && !repeated.txn && HASH_COUNT(core->jobs) == jobs &&
                    jobs == 1,
                "repeated with another spelling, it is the same job", repeated_text);
    free_outcome(&plain);
    free_outcome(&drawn);
    free_outcome(&repeated);
    free(plain_text);
    free(text);
    free(repeated_text);
    bd_core_free(plain_core);
    bd_core_free(core);
}

/* ---- unsound submissions ---- */

/* A rule that a submission breaks. NULL as value: the member is left out. */
struct broken_rule {
    const char *member, *value;
    int status;
};

static const struct broken_rule broken_rules[] = {
    {"id", NULL, 400},
    {"id", "\"job-\"", 400},
    {"id", "\"job-12a\"", 400},
    {"id", "\"job-1\\u0000\"", 400},
    {"id", "412", 400},
    {"kin", NULL, 400},
    {"kin", "\"\"", 400},
    {"kin", "7", 400},
    {"kin", "\"a\\ud800\"", 400},
    {"kin", "\"a\\u0000b\"", 400},
    {"household", NULL, 400},
    {"household", "null", 400},
    {"household", "\"nobody\"", 422},
    {"household", "\"a team whose name has more than sixty-four bytes, as no team's name has\"",
     422},
    {"shape", "\"ring\"", 400},
    {"shape", "\"gang\\u0000\"", 400},
    {"rank", "\"highest\"", 400},
    {"rank", "[]", 400},
    {"chores", NULL, 400},
    {"chores", "0", 400},
    {"chores", "-0", 400},
    {"chores", "-1", 400},
    {"chores", "1.5", 400},
    {"chores", "15e-1", 400},
    {"chores", "1.00000000000000000000000000000001", 400},
    {"chores", "100001", 400},
    {"chores", "1.00001e5", 400},
    {"chores", "18446744073709551617", 400},
    {"chores", "-18446744073709551615", 400},
    {"chores", "1e400", 400},
    {"chores", "\"6\"", 400},
    {"chores", "[6]", 400},
    {"vcpus", NULL, 400},
    {"vcpus", "-0.5", 400},
    {"vcpus", "1e400", 400},
    {"vcpus", "16.5", 422},
    {"accelerators", "null", 400},
    {"memGb", "\"2\"", 400},
    {"memGb", "65", 422},
    {"seed", "\"\"", 400},
    {"imageGb", "{}", 400},
    {"breeds", "[1]", 400},
    {"breeds", "[\"\"]", 400},
    {"breeds", "\"small\"", 400},
    {"breeds", "[[\"small\"]]", 400},
    {"breeds", "[]", 422},
    {"breeds", "[\"unheard-of\"]", 422},
    {"glade", "3", 400},
    {"glade", "\"\\udc00\"", 400},
    {"glade", "\"nowhere\"", 422},
    {"together", NULL, 400},
    {"together", "1", 400},
    {"together", "\"\\ud800\"", 400},
    {"scatter", "null", 400},
    {"windfall", "\"true\"", 400},
    {"guessS", "-1e-5", 400},
    {"markS", "true", 400},
    {"stowS", "\"4\"", 400},
    {"dueS", "\"soon\"", 400},
    {"awaits", "\"job-1\"", 400},
    {"awaits", "[7]", 400},
};

/* Writes the submission with one member replaced by a text, or left out. */
static char *write_broken(struct spelling *spelling, json_t *submission,
                          const struct broken_rule *rule)
{
    json_t *rest = json_copy(submission);
    char *text = NULL;
    json_object_del(rest, rule->member);
    char *rest_text = spelling_write(spelling, rest);
    const char *after_brace = strchr(rest_text, '{') + 1;
    int len = rule->value ? asprintf(&text, "{\"%s\":%s,%s", rule->member, rule->value, after_brace)
                          : asprintf(&text, "{%s", after_brace);
    if (len < 0)
        abort();
    free(rest_text);
    json_decref(rest);
    return text;
}

static void check_refused(const char *text, int status)
{
    struct bd_settings settings = {0};
    struct bd_core *core = new_core(&settings);
    struct outcome outcome = submit(core, text);
    drawn_check(outcome.status == status, "an unsound submission gets its status", text);
    drawn_check(!outcome.txn && HASH_COUNT(core->jobs) == 0 && HASH_COUNT(core->classes) == 0,
                "an unsound submission changes nothing", text);
    free_outcome(&outcome);
    bd_core_free(core);
}

/* A text that is not JSON, or repeats a member. */
static char *break_text(struct spelling *spelling, json_t *submission)
{
    static const char *const forms[] = {"%.*s",
                                        "%s,",
                                        "%s{}",
                                        "%s x",
                                        "[%s]",
                                        "// a\n%s",
                                        "\xef\xbb\xbf%s",
                                        "{\"x\":01,%s",
                                        "{\"x\":NaN,%s",
                                        "{\"x\":+1,%s",
                                        "{\"x\":1.,%s",
                                        "{\"x\":.5,%s",
                                        "{\"x\":'a',%s",
                                        "{\"x\":\"\t\",%s",
                                        "{\"x\":\"\\x\",%s",
                                        "{\"x\":\"\xff\",%s",
                                        "{\"x\":\"\xc0\x80\",%s",
                                        "{\"x\":\"\xed\xa0\x80\",%s",
                                        "{\"x\":[1,],%s",
                                        "{\"x\":{\"a\":1,},%s",
                                        "{\"x\",%s",
                                        "{x:1,%s",
                                        "{\"x\":tru,%s",
                                        "{,%s",
                                        "{\"kin\":\"k\",%s",
                                        "{\"\\u006bin\":\"k\",%s"};
    uint64_t form = spelling_draw(spelling, sizeof forms / sizeof *forms);
    char *sound = bd_json_write(submission), *text = NULL;
    size_t cut = spelling_draw(spelling, strlen(sound));
    bool opens_object = strchr(forms[form], '{') && form != 2;
    /* NOLINTBEGIN(clang-diagnostic-format-nonliteral) */
    int len = form == 0 ? asprintf(&text, forms[form], (int)cut, sound)
                        : asprintf(&text, forms[form], opens_object ? sound + 1 : sound);
    /* NOLINTEND(clang-diagnostic-format-nonliteral) */
    if (len < 0)
        abort();
    free(sound);
    return text;
}

void drawn_submissions(struct spelling *spelling)
{
    json_t *submission = draw_submission(spelling);
    check_sound(spelling, submission);
    const struct broken_rule *rule =
        &broken_rules[spelling_draw(spelling, sizeof broken_rules / sizeof *broken_rules)];
    char *text = write_broken(spelling, submission, rule);
    check_refused(text, rule->status);
    free(text);
    text = break_text(spelling, submission);
    check_refused(text, 400);
    free(text);
    json_decref(submission);
}
