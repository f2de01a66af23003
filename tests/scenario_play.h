/* The state of a running scenario, shared by the files that implement the steps. scenario.c owns it
 * and reads the lines; its head lists the steps. */
#ifndef SCENARIO_PLAY_H
#define SCENARIO_PLAY_H
#include "behaviour_digest.h"
#include "brambledoor/log.h"
#include "core/core.h"

#define SCENARIO_WORDS_MAX 64 /* in a line; the rest is ignored */

struct scenario {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *core;            /* NULL until the first step after the settings */
    struct bd_effect *effects;       /* emitted, but not yet expected or cleared */
    char *words[SCENARIO_WORDS_MAX]; /* of the present line */
    int word_count, line_number;
    const char *path, *text; /* of the file; the whole present line */
    int failures;
    uint64_t store_revision;         /* of the last transaction */
    uint64_t heartbeat_seq;          /* of the last heartbeat_running */
    json_t *drain_records;           /* in the store; NULL: none yet */
    json_t *drain_parts;             /* likewise: the records of the drains' machines */
    struct behaviour_digest *digest; /* NULL: none is computed */
};

struct scenario_step {
    const char *name; /* first word of the line */
    int words_min;    /* with the name */
    void (*run)(struct scenario *scenario);
};

/* ---- scenario_line.c ---- */

/* Runs the step of the present line. False: it is none of these steps. */
bool scenario_run_step(struct scenario *scenario, const struct scenario_step *steps, size_t count);
/* Reports the present line as failed; the scenario continues. */
void scenario_fail(struct scenario *scenario, const char *reason);
/* The value of the word `key=value` in the present line. NULL: there is none. */
const char *scenario_find_text(struct scenario *scenario, const char *key);
/* Likewise as a number. */
double scenario_find_number(struct scenario *scenario, const char *key, double fallback);
/* Likewise as a flag: whether the number is not 0. */
bool scenario_find_flag(struct scenario *scenario, const char *key);
/* The number of the attempt that the text names, as a number or as @TERM.N. */
uint64_t scenario_parse_attempt(const char *text);
/* Counts a transaction of the store. Returns the new revision. */
uint64_t scenario_next_revision(struct scenario *scenario);

/* ---- Steps that precede the creation of the core ---- */

void scenario_run_set(struct scenario *scenario);      /* scenario_settings.c */
void scenario_run_draining(struct scenario *scenario); /* scenario_drain.c */

/* ---- All other steps. False: the present line is none of the file's steps. ---- */

bool scenario_run_settings_step(struct scenario *scenario);
bool scenario_run_job_step(struct scenario *scenario);
bool scenario_run_machine_step(struct scenario *scenario);
bool scenario_run_leader_step(struct scenario *scenario);
bool scenario_run_expect_step(struct scenario *scenario);
bool scenario_run_drain_step(struct scenario *scenario);

/* Drops the effects that wait. */
void scenario_clear_effects(struct scenario *scenario);
#endif
