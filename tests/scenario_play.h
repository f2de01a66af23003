/* A scenario that is being played: the state of one run, shared by the files that know its steps.
 * scenario.c reads the lines and owns the run. */
#ifndef SCENARIO_PLAY_H
#define SCENARIO_PLAY_H
#include "behaviour_digest.h"
#include "brambledoor/log.h"
#include "core/core.h"

#define PLAY_WORDS_MAX 64 /* of a line */

struct play {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *core;      /* NULL until the first step after the settings */
    struct bd_effect *effects; /* emitted, and not yet expected or cleared */
    /* the line */
    char *words[PLAY_WORDS_MAX];
    int nwords, line_number;
    const char *path, *text; /* text: the whole line */
    int faults;
    uint64_t store_revision, heartbeat_seq;
    json_t *drains, *sets;           /* their records; NULL: none */
    struct behaviour_digest *digest; /* NULL: none is computed */
};

/* One kind of line: its first word, how many words it needs, and what it does. */
struct play_step {
    const char *verb;
    int words_min;
    void (*run)(struct play *play);
};

/* scenario_line.c. False: the line is none of these. */
bool play_run_step(struct play *play, const struct play_step *steps, size_t count);
void play_fail(struct play *play, const char *what);
/* The value of a word `key=value` of the line, or NULL; as a number; as a switch. */
const char *play_text(struct play *play, const char *key);
double play_number(struct play *play, const char *key, double fallback);
bool play_flag(struct play *play, const char *key);
/* The attempt that a number or @TERM.N names. */
uint64_t play_attempt(const char *text);
/* The store's revision after one more transaction. */
uint64_t play_next_revision(struct play *play);

/* Steps before the core is made. */
void play_set(struct play *play);      /* scenario_settings.c */
void play_draining(struct play *play); /* scenario_drain.c */

/* Each plays the line if it is one of its steps. False: it is not. */
bool play_settings_step(struct play *play);
bool play_job_step(struct play *play);
bool play_machine_step(struct play *play);
bool play_leader_step(struct play *play);
bool play_expect_step(struct play *play);
bool play_drain_step(struct play *play);

/* scenario_expect.c */
void play_clear_effects(struct play *play);
#endif
