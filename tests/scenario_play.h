/* The state of a running scenario, shared by the files that implement the steps. scenario.c owns it
 * and reads the lines; its head lists the steps. */
#ifndef SCENARIO_PLAY_H
#define SCENARIO_PLAY_H
#include "behaviour_digest.h"
#include "brambledoor/log.h"
#include "core/core.h"

#define SCENARIO_WORDS_MAX 64      /* in a line; the rest is ignored */
#define SCENARIO_START_S 100       /* steady clock at the scenario's start */
#define SCENARIO_WALL_START_S 1000 /* time of day at the scenario's start */
#define SCENARIO_GRANT 7           /* the leader's grant */

struct scenario {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *core;            /* NULL until the first step after the settings */
    struct bd_effect *effects;       /* emitted, but not yet expected or cleared */
    char *words[SCENARIO_WORDS_MAX]; /* of the present line */
    int word_count, line_number;     /* of the present line */
    const char *path;                /* of the scenario file */
    const char *text;                /* the whole present line */
    int failures;
    uint64_t store_revision;         /* revision of the last transaction */
    uint64_t heartbeat_seq;          /* sequence number of the last heartbeat_running */
    json_t *drain_records;           /* drains' records in the store; NULL: none yet */
    json_t *drain_parts;             /* machines' records in the store; NULL: none yet */
    struct behaviour_digest *digest; /* NULL: no digest is computed */
};

struct scenario_step {
    const char *name; /* first word of the line */
    int words_min;    /* fewest words of the line, including the name */
    void (*run)(struct scenario *scenario);
};

/* ---- scenario_line.c ---- */

/* Runs the step of the present line. Returns false if the line is none of these steps. */
bool scenario_run_step(struct scenario *scenario, const struct scenario_step *steps, size_t count);
/* Reports the present line as failed; the scenario continues. */
void scenario_fail(struct scenario *scenario, const char *reason);
/* Returns the value of the word `key=value` in the present line. NULL: there is no such word. */
const char *scenario_find_text(struct scenario *scenario, const char *key);
/* Returns that value as a number; `fallback`: there is no such word. */
double scenario_find_number(struct scenario *scenario, const char *key, double fallback);
/* Returns whether that value is a number other than 0; false: there is no such word. */
bool scenario_find_flag(struct scenario *scenario, const char *key);
/* Returns the number of an attempt, which is written as a number or as @TERM.N. */
uint64_t scenario_parse_attempt(const char *text);
/* Counts a transaction of the store. Returns the new revision. */
uint64_t scenario_next_revision(struct scenario *scenario);

/* ---- Steps that precede the creation of the core ---- */

void scenario_run_set(struct scenario *scenario);      /* scenario_settings.c */
void scenario_run_draining(struct scenario *scenario); /* scenario_drain.c */

/* ---- All other steps. Each returns false if the present line is none of its file's steps. ---- */

bool scenario_run_settings_step(struct scenario *scenario);
bool scenario_run_job_step(struct scenario *scenario);
bool scenario_run_machine_step(struct scenario *scenario);
bool scenario_run_leader_step(struct scenario *scenario);
bool scenario_run_expect_step(struct scenario *scenario);
bool scenario_run_drain_step(struct scenario *scenario);

/* Frees the effects that are not yet expected or cleared. */
void scenario_clear_effects(struct scenario *scenario);
#endif
