#include "drain_command.h"
#include "base/http.h"
#include "base/timeutil.h"
#include <argp.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_DRAINS "/admin/v1/drains"
#define ANSWER_S 20.0
#define WATCH_S 2.0
#define URL_BYTES 256

/* the man page names them */
enum exit_status { EXIT_OK = 0, EXIT_REFUSED = 1, EXIT_USAGE = 2, EXIT_UNREACHED = 3 };

enum option_key { KEY_ALL = 256, KEY_JSON };

struct arguments {
    const char *admin, *verb, *name;
    json_t *request; /* of `start` */
    bool as_json;
};

static const struct argp_option options[] = {
    {"admin", 'a', "HOST:PORT", 0, "the administration address of a controller", 0},
    {"json", KEY_JSON, NULL, 0, "print the answer as JSON", 0},
    {"mode", 'm', "MODE", 0, "start: retire or replace", 1},
    {"machine", 'M', "ID", 0, "start: a machine; may be repeated", 1},
    {"type", 't', "TYPE", 0, "start: all machines of this type", 1},
    {"zone", 'z', "ZONE", 0, "start: all machines of this zone", 1},
    {"selection", 's', "LABEL", 0, "start: the operators' selection of this label", 1},
    {"all", KEY_ALL, NULL, 0, "start: all machines are meant, if they are", 1},
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

static void positional(struct arguments *a, char *arg, struct argp_state *state)
{
    if (!a->verb)
        a->verb = arg;
    else if (!a->name)
        a->name = arg;
    else
        argp_error(state, "too many words");
}

static bool needs_name(const char *verb)
{
    return strcmp(verb, "list") != 0;
}

static void check(const struct arguments *a, struct argp_state *state)
{
    static const char *const verbs[] = {"list",  "show",   "watch", "start",
                                        "pause", "resume", "cancel"};
    bool known = false;
    for (size_t i = 0; a->verb && i < sizeof verbs / sizeof verbs[0]; i++)
        known = known || strcmp(verbs[i], a->verb) == 0;
    if (!known)
        argp_error(state, "list, show, watch, start, pause, resume or cancel");
    if (known && needs_name(a->verb) && !a->name)
        argp_error(state, "%s needs the drain's name", a->verb);
    if (!a->admin)
        argp_error(state, "--admin HOST:PORT is needed");
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
    struct arguments *a = state->input;
    switch (key) {
    case 'a':
        a->admin = arg;
        return 0;
    case KEY_JSON:
        a->as_json = true;
        return 0;
    case 'm':
        json_object_set_new(a->request, "mode", json_string(arg));
        return 0;
    case 'M':
        add_machine(a->request, arg);
        return 0;
    case 't':
        json_object_set_new(a->request, "type", json_string(arg));
        return 0;
    case 'z':
        json_object_set_new(a->request, "zone", json_string(arg));
        return 0;
    case 's':
        json_object_set_new(a->request, "selection", json_string(arg));
        return 0;
    case KEY_ALL:
        json_object_set_new(a->request, "all", json_true());
        return 0;
    case ARGP_KEY_ARG:
        positional(a, arg, state);
        return 0;
    case ARGP_KEY_END:
        check(a, state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* ---- asking ---- */

static long ask(const struct arguments *a, struct bd_http *http, const char *method,
                const char *tail, const char *body, json_t **out)
{
    char url[URL_BYTES];
    struct bd_http_response reply;
    snprintf(url, sizeof url, "http://%s" PATH_DRAINS "%s", a->admin, tail);
    bd_http_call(http, method, url, body, ANSWER_S, &reply);
    long status = reply.status;
    *out = reply.body ? json_loadb(reply.body, reply.len, 0, NULL) : NULL;
    bd_http_response_free(&reply);
    return status;
}

static const char *text_of(json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

static void print_drain(json_t *drain)
{
    printf("%-24s %-8s %-10s %lld machines\n", text_of(drain, "name"), text_of(drain, "mode"),
           text_of(drain, "state"),
           (long long)json_integer_value(json_object_get(drain, "machines")));
}

static void print_entry(json_t *entry, double now)
{
    double since = json_number_value(json_object_get(entry, "since"));
    printf("  %-20s %-9s %6.0f s", text_of(entry, "machine"), text_of(entry, "stage"),
           now > since ? now - since : 0);
    if (*text_of(entry, "waits_for"))
        printf("  waits for %s", text_of(entry, "waits_for"));
    if (*text_of(entry, "team"))
        printf(" of %s", text_of(entry, "team"));
    if (*text_of(entry, "replacement"))
        printf("  replaced by %s", text_of(entry, "replacement"));
    printf("\n");
}

static void print_answer(json_t *o)
{
    json_t *list = json_object_get(o, "drains"), *v;
    struct timespec wall = {0, 0};
    size_t i;
    (void)clock_gettime(CLOCK_REALTIME, &wall);
    if (!list) {
        print_drain(o);
        list = json_object_get(o, "entries");
        json_array_foreach(list, i, v)
        {
            print_entry(v, bd_to_secs(wall));
        }
        return;
    }
    json_array_foreach(list, i, v)
    {
        print_drain(v);
    }
}

static int say_refusal(long status, json_t *o)
{
    const char *field = text_of(o, "field");
    if (status == 0)
        fprintf(stderr, "brambledoor drain: no answer\n");
    else
        fprintf(stderr, "brambledoor drain: %ld %s%s%s\n", status, field, *field ? ": " : "",
                text_of(o, "error"));
    return status == 0 || status >= 500 ? EXIT_UNREACHED : EXIT_REFUSED;
}

static int conclude(const struct arguments *a, long status, json_t *o)
{
    int result = EXIT_OK;
    if (status != 200 && status != 201)
        result = say_refusal(status, o);
    else if (a->as_json)
        (void)json_dumpf(o, stdout, JSON_INDENT(1) | JSON_ENCODE_ANY);
    else
        print_answer(o);
    (void)fflush(stdout);
    return result;
}

static int watch(const struct arguments *a, struct bd_http *http, const char *tail)
{
    for (;;) {
        json_t *o = NULL;
        long status = ask(a, http, "GET", tail, NULL, &o);
        int result = conclude(a, status, o);
        const char *state = text_of(o, "state");
        bool over = strcmp(state, "done") == 0 || strcmp(state, "called off") == 0;
        json_decref(o);
        if (result == EXIT_REFUSED || over)
            return result;
        bd_pause(WATCH_S);
    }
}

static int run(const struct arguments *a, struct bd_http *http)
{
    char tail[URL_BYTES / 2] = "";
    char *body = NULL;
    json_t *o = NULL;
    bool reads = strcmp(a->verb, "list") == 0 || strcmp(a->verb, "show") == 0;
    bool starts = strcmp(a->verb, "start") == 0;
    if (needs_name(a->verb) && !starts)
        snprintf(tail, sizeof tail, "/%s", a->name);
    if (strcmp(a->verb, "watch") == 0)
        return watch(a, http, tail);
    if (starts) {
        json_object_set_new(a->request, "name", json_string(a->name));
        body = json_dumps(a->request, JSON_COMPACT);
    } else if (!reads) {
        strncat(tail, "/", sizeof tail - strlen(tail) - 1);
        strncat(tail, a->verb, sizeof tail - strlen(tail) - 1);
        body = strdup("{}");
    }
    long status = ask(a, http, reads ? "GET" : "POST", tail, body, &o);
    int result = conclude(a, status, o);
    json_decref(o);
    free(body);
    return result;
}

int drain_command(int argc, char **argv)
{
    static const struct argp argp = {
        options,
        parse,
        "list | show NAME | watch NAME | start NAME | pause NAME | resume NAME | "
        "cancel NAME",
        "Drains machines in steps, within the disruption that each team declared.",
        0,
        0,
        0};
    char name[] = "brambledoor drain";
    struct arguments a = {.request = json_object()};
    argv[0] = name; /* in what argp says */
    argp_err_exit_status = EXIT_USAGE;
    if (argp_parse(&argp, argc, argv, 0, 0, &a) != 0 || bd_http_start() != 0)
        return EXIT_USAGE;
    struct bd_http *http = bd_http_new(1, NULL);
    int result = http ? run(&a, http) : EXIT_UNREACHED;
    if (http)
        bd_http_free(http);
    bd_http_end();
    json_decref(a.request);
    return result;
}
