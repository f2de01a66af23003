/* The real senders of direct commands against a machine that takes connections and never answers:
 * a command that waits in a sender's queue until after its deadline is not sent, the owner gets an
 * event that says so, and nothing delays the commands after it. */
#include "adapters/event.h"
#include "adapters/node.h"
#include "adapters/worker_client.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/effect.h"
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define COMMANDS 48
#define DEADLINE_S 2.0
#define OVERTIME_MAX_S                                                                             \
    6.0             /* the deadline, one answer's time after it, and a slow machine's share */
#define SENT_MAX 24 /* six senders, an answer's time of 1.5 s each */

struct machine {
    int listener;
    atomic_int requests;
};

/* Takes every connection, counts those that ask something, and answers none. */
static void *never_answer(void *arg)
{
    struct machine *machine = arg;
    static struct pollfd fds[COMMANDS + 1];
    nfds_t n = 1;
    fds[0] = (struct pollfd){machine->listener, POLLIN, 0};
    while (poll(fds, n, -1) > 0) {
        for (nfds_t i = 1; i < n; i++) {
            char text[1024];
            if (fds[i].revents == 0)
                continue;
            if (recv(fds[i].fd, text, sizeof text, 0) > 0)
                atomic_fetch_add(&machine->requests, 1);
            else
                fds[i].fd = -1 - fds[i].fd; /* closed: not looked at any more */
        }
        if (fds[0].revents && n <= COMMANDS)
            fds[n++] = (struct pollfd){accept(machine->listener, NULL, NULL), POLLIN, 0};
    }
    return NULL;
}

static int listen_anywhere(struct machine *machine)
{
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof addr;
    machine->listener = socket(AF_INET, SOCK_STREAM, 0);
    if (machine->listener < 0 || bind(machine->listener, (struct sockaddr *)&addr, len) != 0 ||
        listen(machine->listener, COMMANDS) != 0 ||
        getsockname(machine->listener, (struct sockaddr *)&addr, &len) != 0)
        return -1;
    return ntohs(addr.sin_port);
}

static struct bd_node *new_node(void)
{
    struct bd_node *node = calloc(1, sizeof *node);
    if (!node)
        abort();
    node->settings.max_sockets = 400;
    node->log = (struct bd_log){BD_LOG_ERROR, "node-0"};
    node->metrics = bd_metrics_new();
    if (!node->metrics || bd_http_global_init() != 0 || bd_queue_init(&node->events, 4096) != 0 ||
        bd_worker_client_start(node) != 0)
        abort();
    return node;
}

static void send_command(struct bd_node *node, uint32_t number, int port, double deadline_s)
{
    struct bd_effect *effect = calloc(1, sizeof *effect);
    if (!effect)
        abort();
    effect->kind = BD_EFFECT_DIRECT_COMMAND;
    effect->machine = number;
    effect->has_launches = true;
    effect->send_deadline = bd_time_add(bd_now(), bd_secs(deadline_s));
    effect->body = strdup("{}");
    snprintf(effect->addr, sizeof effect->addr, "127.0.0.1:%d", port);
    bd_worker_client_send(node, effect);
}

/* Takes the owner's events, until `max` came or OVERTIME_MAX_S passed. */
static int take_events(struct bd_node *node, int max, int *not_sent)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(OVERTIME_MAX_S));
    int got = 0;
    while (got < max && bd_time_is_before(bd_now(), end)) {
        void *item;
        if (bd_queue_take(&node->events, &item, 1, end) == 0)
            continue;
        struct bd_event *event = item;
        got++;
        *not_sent += event->direct_command.status == BD_DIRECT_NOT_SENT;
        bd_event_free(event);
    }
    return got;
}

static int check(const char *what, bool good)
{
    printf("%s: %s\n", good ? "ok  " : "FAIL", what);
    return good ? 0 : 1;
}

int main(void)
{
    static struct machine machine;
    int failed = 0, not_sent = 0;
    int port = listen_anywhere(&machine);
    struct bd_node *node = new_node();
    if (port < 0 || bd_thread_start(never_answer, &machine, 131072) != 0)
        return 2;
    for (uint32_t i = 0; i < COMMANDS; i++)
        send_command(node, i, port, DEADLINE_S);
    int got = take_events(node, COMMANDS, &not_sent);
    int requests = atomic_load(&machine.requests);
    printf("%d outcomes, %d not sent, %d requests\n", got, not_sent, requests);
    failed += check("every command has its outcome soon after its deadline", got == COMMANDS);
    failed += check("what waited too long was not sent", not_sent >= COMMANDS - SENT_MAX);
    failed += check("what is reported as not sent was not sent", requests <= COMMANDS - not_sent);
    failed += check("what was sent in time was sent", requests > 0);
    not_sent = 0;
    send_command(node, 0, port, -0.001);
    failed += check("a command after its deadline is not sent",
                    take_events(node, 1, &not_sent) == 1 && not_sent == 1 &&
                        atomic_load(&machine.requests) == requests);
    return failed ? 1 : 0;
}
