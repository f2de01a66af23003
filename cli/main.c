#include "brambledoor/node.h"
#include "brambledoor/timeutil.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TTL_LEAST_S 2.0 /* several slow answers of the state service fit in */
#define TTL_MOST_S 2.5

const char *argp_program_version = "brambledoor " BD_VERSION;

struct arguments {
    const char *config, *operators;
    bool check;
};

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "the platform's settings (JSON)", 0},
    {"operators", 'o', "FILE", 0, "the operators' own settings (S-expressions)", 0},
    {"check", 'k', 0, 0, "check the settings and exit", 0},
    {0}};

static error_t parse(int key, char *arg, struct argp_state *state)
{
    struct arguments *a = state->input;
    switch (key) {
    case 'c':
        a->config = arg;
        return 0;
    case 'o':
        a->operators = arg;
        return 0;
    case 'k':
        a->check = true;
        return 0;
    case ARGP_KEY_END:
        if (!a->config)
            argp_error(state, "--config FILE is needed");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* The leader's grant is a part of the workers' lease, so that a takeover fits into one. */
static void derive(struct bd_settings *settings)
{
    if (!bd_is_zero(settings->leader_ttl))
        return;
    double ttl = bd_to_secs(settings->lease) / 5;
    settings->leader_ttl = bd_secs(ttl < TTL_LEAST_S  ? TTL_LEAST_S
                                   : ttl > TTL_MOST_S ? TTL_MOST_S
                                                      : ttl);
}

int main(int argc, char **argv)
{
    static const struct argp argp = {options, parse, 0, "A cluster scheduler's controller.",
                                     0,       0,     0};
    struct arguments a = {0};
    char err[256];
    argp_err_exit_status = 2;
    if (argp_parse(&argp, argc, argv, 0, 0, &a) != 0)
        return 2;
    struct bd_node *n = calloc(1, sizeof *n);
    if (!n)
        return 1;
    if (bd_settings_load(&n->settings, a.config, err, sizeof err) != 0 ||
        (a.operators && bd_settings_operator(&n->settings, a.operators, err, sizeof err) != 0)) {
        fprintf(stderr, "brambledoor: %s\n", err);
        free(n);
        return 2;
    }
    derive(&n->settings);
    if (a.check) {
        free(n);
        return 0;
    }
    n->log.level = bd_level_of(getenv("LOG_LEVEL"));
    n->log.node = n->settings.node;
    if (bd_node_start(n) != 0) {
        bd_say(&n->log, BD_ERROR, "cannot start");
        return 1;
    }
    bd_say(&n->log, BD_INFO, "started, version %s", BD_VERSION);
    bd_event_loop_run(n);
    return 0;
}
