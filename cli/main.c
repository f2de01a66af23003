/* Entry point of the program: runs a controller or the `drain` command. */
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
    const char *settings_path;  /* --config */
    const char *operators_path; /* --operators; NULL: not given */
    bool checks_only;           /* --check */
};

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "settings of the platform (JSON)", 0},
    {"operators", 'o', "FILE", 0, "settings of the operators (S-expressions)", 0},
    {"check", 'k', 0, 0, "check the settings and exit", 0},
    {0}};

#define ERROR_BYTES 256

enum exit_status { EXIT_DONE = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

static error_t parse_argument(int key, char *value, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    switch (key) {
    case 'c':
        arguments->settings_path = value;
        return 0;
    case 'o':
        arguments->operators_path = value;
        return 0;
    case 'k':
        arguments->checks_only = true;
        return 0;
    case ARGP_KEY_END:
        if (!arguments->settings_path)
            argp_error(state, "--config FILE is required");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Reads the settings and the operators' file. Prints the error on failure. The caller frees
 * settings->draining, also after a failure. */
static bool load_settings(const struct arguments *arguments, struct bd_settings *settings)
{
    char error[ERROR_BYTES];
    if (bd_settings_load(settings, arguments->settings_path, error, sizeof error) == 0 &&
        (!arguments->operators_path ||
         bd_settings_load_operators_file(settings, arguments->operators_path, error,
                                         sizeof error) == 0))
        return true;
    fprintf(stderr, "brambledoor: %s\n", error);
    return false;
}

/* Creates a controller from the settings files. `*node` stays NULL after a failure or if the
 * settings are only checked. */
static enum exit_status create_controller(const struct arguments *arguments, struct bd_node **node)
{
    struct bd_settings *settings = calloc(1, sizeof *settings);
    if (!settings)
        return EXIT_FAILED;
    enum exit_status result = EXIT_USAGE;
    if (!load_settings(arguments, settings))
        goto free_settings;
    result = EXIT_DONE;
    if (arguments->checks_only)
        goto free_settings;
    *node = bd_controller_new(settings, bd_log_level_parse(getenv("LOG_LEVEL")));
    if (*node)
        settings->draining = NULL; /* now owned by the controller's copy of the settings */
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
