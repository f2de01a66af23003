/* A scenario that is being played: shared by the files that know its steps. */
#ifndef SCENARIO_PLAY_H
#define SCENARIO_PLAY_H
#include "behaviour_digest.h"
#include "brambledoor/log.h"
#include "core/core.h"

#define WORDS 64

struct play {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *c;
    struct bd_effect *left;
    char *w[WORDS];
    int n, line, faults;
    const char *path, *raw;
    uint64_t store_revision;
    uint64_t token_out;
    struct bd_effect *user; /* the user's transaction in flight */
    json_t *drains, *sets;  /* their records */
    uint64_t report_seq;
    struct behaviour_digest *digest; /* NULL: none is taken */
};

/* One kind of line: its first word, the words that it needs, and what it does. */
struct play_step {
    const char *verb;
    int words;
    void (*run)(struct play *p);
};

/* False: the line is none of these. */
bool play_run_step(struct play *p, const struct play_step *steps, size_t n);
void play_fail(struct play *p, const char *what);
/* the value of a word `key=value` of the line, or NULL; as a number; as a switch */
const char *play_arg(struct play *p, const char *key);
double play_num(struct play *p, const char *key, double otherwise);
bool play_yes(struct play *p, const char *key);

/* scenario_drain.c */
void play_draining(struct play *p);
/* False: the line is no step of draining. */
bool play_drain_step(struct play *p);
#endif
