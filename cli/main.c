/* The program: a controller, or the `drain` command. */
#include "brambledoor/controller.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "drain_command.h"
#include <argp.h>
#include <stdbool.h>
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

enum exit_status { EXIT_DONE = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

static error_t parse_argument(int key, char *value, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    switch (key) {
    case 'c':
        arguments->config = value;
        return 0;
    case 'o':
        arguments->operators = value;
        return 0;
    case 'k':
        arguments->check = true;
        return 0;
    case ARGP_KEY_END:
        if (!arguments->config)
            argp_error(state, "--config FILE is needed");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Reads the settings and the operators' file; prints what is wrong. The caller frees what
 * settings->draining points to, also after a failure. */
static bool load_settings(const struct arguments *arguments, struct bd_settings *settings)
{
    char error[256];
    if (bd_settings_load(settings, arguments->config, error, sizeof error) == 0 &&
        (!arguments->operators ||
         bd_settings_load_operators_file(settings, arguments->operators, error, sizeof error) == 0))
        return true;
    fprintf(stderr, "brambledoor: %s\n", error);
    return false;
}

/* Makes a controller as the arguments say; *node stays NULL if the settings are only checked, or
 * after a failure. */
static enum exit_status create_controller(const struct arguments *arguments, struct bd_node **node)
{
    struct bd_settings *settings = calloc(1, sizeof *settings);
    if (!settings)
        return EXIT_FAILED;
    enum exit_status result = EXIT_USAGE;
    if (!load_settings(arguments, settings))
        goto free_settings;
    result = EXIT_DONE;
    if (arguments->check)
        goto free_settings;
    *node = bd_controller_new(settings, bd_log_level_parse(getenv("LOG_LEVEL")));
    if (*node)
        settings->draining = NULL; /* the controller's copy of the settings owns it */
    else
        result = EXIT_FAILED;
free_settings:
    free(settings->draining);
    free(settings);
    return result;
}

int main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "drain") == 0)
        return drain_command(argc - 1, argv + 1);
    static const struct argp argp = {.options = options,
                                     .parser = parse_argument,
                                     .args_doc = NULL,
                                     .doc = "A cluster scheduler's controller."};
    struct arguments arguments = {0};
    argp_err_exit_status = EXIT_USAGE;
    if (argp_parse(&argp, argc, argv, 0, 0, &arguments) != 0)
        return EXIT_USAGE;
    struct bd_node *node = NULL;
    enum exit_status result = create_controller(&arguments, &node);
    if (!node)
        return (int)result;
    if (bd_controller_start(node) != 0)
        return EXIT_FAILED;
    bd_controller_run(node);
    return EXIT_DONE;
}
