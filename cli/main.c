#include "brambledoor/controller.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "drain_command.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

int main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "drain") == 0)
        return drain_command(argc - 1, argv + 1);
    static const struct argp argp = {options, parse, 0, "A cluster scheduler's controller.",
                                     0,       0,     0};
    struct arguments a = {0};
    char err[256];
    argp_err_exit_status = 2;
    if (argp_parse(&argp, argc, argv, 0, 0, &a) != 0)
        return 2;
    struct bd_settings *settings = calloc(1, sizeof *settings);
    if (!settings)
        return 1;
    if (bd_settings_load(settings, a.config, err, sizeof err) != 0 ||
        (a.operators && bd_settings_operator(settings, a.operators, err, sizeof err) != 0)) {
        fprintf(stderr, "brambledoor: %s\n", err);
        free(settings->draining);
        free(settings);
        return 2;
    }
    struct bd_node *node =
        a.check ? NULL : bd_controller_new(settings, bd_log_level_parse(getenv("LOG_LEVEL")));
    if (!node) /* else the controller's own copy holds it */
        free(settings->draining);
    free(settings);
    if (a.check)
        return 0;
    if (!node || bd_controller_start(node) != 0)
        return 1;
    bd_controller_run(node);
    return 0;
}
