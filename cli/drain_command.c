#include "drain_command.h"
#include "base/http.h"
#include "base/json_reader.h"
#include "base/timeutil.h"
#include "drain_output.h"
#include <argp.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRAINS_PATH "/admin/v1/drains"
#define RESPONSE_TIMEOUT_S 20.0
#define WATCH_INTERVAL_S 2.0
#define URL_BYTES 256

enum exit_status { EXIT_DONE = 0, EXIT_REFUSED = 1, EXIT_USAGE = 2, EXIT_UNAVAILABLE = 3 };

enum option_key { KEY_ALL = 256, KEY_JSON };

/* Subcommands. */
enum verb {
    VERB_NONE,
    VERB_LIST,
    VERB_SHOW,
    VERB_WATCH,
    VERB_START,
    VERB_PAUSE,
    VERB_RESUME,
    VERB_CANCEL,
    VERB_COUNT
};

static const char *const verb_names[VERB_COUNT] = {"",      "list",  "show",   "watch",
                                                   "start", "pause", "resume", "cancel"};

struct arguments {
    const char *admin;         /* HOST:PORT */
    const char *verb_argument; /* the verb as given; NULL: missing */
    enum verb verb;
    const char *name; /* name of the drain; NULL: missing */
    json_t *request;  /* request body of `start` */
    bool prints_json;
};

static const struct argp_option options[] = {
    {"admin", 'a', "HOST:PORT", 0, "administration address of a controller", 0},
    {"json", KEY_JSON, NULL, 0, "print the response as JSON", 0},
    {"mode", 'm', "MODE", 0, "start: retire or replace", 1},
    {"machine", 'M', "ID", 0, "start: a machine; may be repeated", 1},
    {"type", 't', "TYPE", 0, "start: all machines of this type", 1},
    {"zone", 'z', "ZONE", 0, "start: all machines of this zone", 1},
    {"selection", 's', "LABEL", 0, "start: the operators' selection of this label", 1},
    {"all", KEY_ALL, NULL, 0, "start: confirm that all machines are to be drained", 1},
    {0}};

static void add_machine(json_t *request, const char *id)
{
    json_t *list = json_object_get(request, "machines");
    if (!list) {
        list = json_array();
        json_object_set_new(request, "machines", list);
    }
    json_array_append_new(list, json_string(id));
}

static enum verb find_verb(const char *name)
{
    for (int verb = VERB_LIST; verb < VERB_COUNT; verb++)
        if (strcmp(verb_names[verb], name) == 0)
            return (enum verb)verb;
    return VERB_NONE;
}

static void add_positional(struct arguments *arguments, const char *value, struct argp_state *state)
{
    if (!arguments->verb_argument) {
        arguments->verb_argument = value;
        arguments->verb = find_verb(value);
    } else if (!arguments->name) {
        arguments->name = value;
    } else {
        argp_error(state, "too many arguments: %s", value);
    }
}

/* Checks that all required arguments are given. argp_error exits the program. */
static void check_arguments(const struct arguments *arguments, struct argp_state *state)
{
    if (arguments->verb == VERB_NONE)
        argp_error(state, "expected list, show, watch, start, pause, resume or cancel");
    if (arguments->verb != VERB_LIST && !arguments->name)
        argp_error(state, "%s requires the name of a drain", arguments->verb_argument);
    if (!arguments->admin)
        argp_error(state, "--admin HOST:PORT is required");
}

static error_t parse_argument(int key, char *value, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    switch (key) {
    case 'a':
        arguments->admin = value;
        return 0;
    case KEY_JSON:
        arguments->prints_json = true;
        return 0;
    case 'm':
        json_object_set_new(arguments->request, "mode", json_string(value));
        return 0;
    case 'M':
        add_machine(arguments->request, value);
        return 0;
    case 't':
        json_object_set_new(arguments->request, "type", json_string(value));
        return 0;
    case 'z':
        json_object_set_new(arguments->request, "zone", json_string(value));
        return 0;
    case 's':
        json_object_set_new(arguments->request, "selection", json_string(value));
        return 0;
    case KEY_ALL:
        json_object_set_new(arguments->request, "all", json_true());
        return 0;
    case ARGP_KEY_ARG:
        add_positional(arguments, value, state);
        return 0;
    case ARGP_KEY_END:
        check_arguments(arguments, state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* ---- requests ---- */

struct response {
    long status;  /* HTTP status; 0: no response */
    json_t *body; /* owned by the response; NULL: missing or not JSON */
};

/* Sends a request to the drains API. `path` is relative to DRAINS_PATH; `body` may be NULL. */
static struct response send_request(const struct arguments *arguments, struct bd_http *http,
                                    const char *method, const char *path, const char *body)
{
    char url[URL_BYTES];
    struct bd_http_response reply;
    snprintf(url, sizeof url, "http://%s" DRAINS_PATH "%s", arguments->admin, path);
    bd_http_call(http, method, url, body, RESPONSE_TIMEOUT_S, &reply);
    struct response response = {.status = reply.status};
    if (reply.body)
        response.body = bd_json_read(reply.body, reply.len, NULL, NULL);
    bd_http_response_free(&reply);
    return response;
}

static enum exit_status print_response(const struct arguments *arguments,
                                       const struct response *response)
{
    enum exit_status result = EXIT_DONE;
    if (response->status != 200 && response->status != 201) {
        print_refusal(response->status, response->body);
        bool is_refusal = response->status != 0 && response->status < 500;
        result = is_refusal ? EXIT_REFUSED : EXIT_UNAVAILABLE;
    } else if (arguments->prints_json) {
        (void)json_dumpf(response->body, stdout, JSON_INDENT(1) | JSON_ENCODE_ANY);
    } else {
        print_drains(response->body);
    }
    (void)fflush(stdout);
    return result;
}

/* Sends a request and prints the response. */
static enum exit_status request_and_print(const struct arguments *arguments, struct bd_http *http,
                                          const char *method, const char *path, const char *body)
{
    struct response response = send_request(arguments, http, method, path, body);
    enum exit_status result = print_response(arguments, &response);
    json_decref(response.body);
    return result;
}

static enum exit_status start_drain(const struct arguments *arguments, struct bd_http *http)
{
    json_object_set_new(arguments->request, "name", json_string(arguments->name));
    char *body = json_dumps(arguments->request, JSON_COMPACT);
    enum exit_status result = request_and_print(arguments, http, "POST", "", body);
    free(body);
    return result;
}

/* Prints the drain periodically until it has ended or the request is refused. Continues after a
 * missing response or HTTP status 500 and above. */
static enum exit_status watch_drain(const struct arguments *arguments, struct bd_http *http,
                                    const char *path)
{
    for (;;) {
        struct response response = send_request(arguments, http, "GET", path, NULL);
        enum exit_status result = print_response(arguments, &response);
        const char *state = text_field(response.body, "state");
        bool has_ended = strcmp(state, "done") == 0 || strcmp(state, "called off") == 0;
        json_decref(response.body);
        if (result == EXIT_REFUSED || has_ended)
            return result;
        bd_sleep(WATCH_INTERVAL_S);
    }
}

static enum exit_status run_verb(const struct arguments *arguments, struct bd_http *http)
{
    char path[URL_BYTES / 2];
    switch (arguments->verb) {
    case VERB_LIST:
        return request_and_print(arguments, http, "GET", "", NULL);
    case VERB_START:
        return start_drain(arguments, http);
    case VERB_SHOW:
        snprintf(path, sizeof path, "/%s", arguments->name);
        return request_and_print(arguments, http, "GET", path, NULL);
    case VERB_WATCH:
        snprintf(path, sizeof path, "/%s", arguments->name);
        return watch_drain(arguments, http, path);
    default: /* pause, resume or cancel */
        snprintf(path, sizeof path, "/%s/%s", arguments->name, arguments->verb_argument);
        return request_and_print(arguments, http, "POST", path, "{}");
    }
}

int drain_command(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_argument,
        .args_doc = "list | show NAME | watch NAME | start NAME | pause NAME | resume NAME | "
                    "cancel NAME",
        .doc = "Drains machines in steps, within the disruption budgets of the teams."};
    char name[] = "brambledoor drain";
    struct arguments arguments = {.request = json_object()};
    argv[0] = name; /* the program name in argp's messages */
    argp_err_exit_status = EXIT_USAGE;
    enum exit_status result = EXIT_USAGE;
    if (argp_parse(&argp, argc, argv, 0, 0, &arguments) != 0 || bd_http_global_init() != 0)
        goto free_request;
    struct bd_http *http = bd_http_new(1, NULL);
    result = http ? run_verb(&arguments, http) : EXIT_UNAVAILABLE;
    if (http)
        bd_http_free(http);
    bd_http_global_cleanup();
free_request:
    json_decref(arguments.request);
    return (int)result;
}
