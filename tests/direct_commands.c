/* Tests the senders of direct commands against a machine that accepts connections and never
 * responds. A command that is still in a sender's queue at its deadline is not sent, and the owner
 * gets an event that reports it as not sent. Such a command does not delay the ones after it. */
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
#define DEADLINE_S 2.0         /* from the time at which the command is queued */
#define OUTCOMES_TIMEOUT_S 6.0 /* deadline, response timeout, allowance for a slow machine */
#define SENT_MAX 24 /* by six senders before the deadline, with a response timeout of 1.5 s */

struct machine {
    int listener;
    atomic_int requests; /* received */
};

/* Accepts every connection, counts the requests, and never responds. */
static void *accept_without_response(void *arg)
{
    struct machine *machine = arg;
    static struct pollfd fds[COMMANDS + 1];
    nfds_t fd_count = 1;
    fds[0] = (struct pollfd){machine->listener, POLLIN, 0};
    while (poll(fds, fd_count, -1) > 0) {
        for (nfds_t i = 1; i < fd_count; i++) {
            char text[1024];
            if (fds[i].revents == 0)
                continue;
            if (recv(fds[i].fd, text, sizeof text, 0) > 0)
                atomic_fetch_add(&machine->requests, 1);
            else
                fds[i].fd = -1 - fds[i].fd; /* closed: poll ignores negative descriptors */
        }
        if (fds[0].revents && fd_count <= COMMANDS)
            fds[fd_count++] = (struct pollfd){accept(machine->listener, NULL, NULL), POLLIN, 0};
    }
    return NULL;
}

/* Listens on a free port of the loopback interface. Returns the port, or -1. */
static int listen_on_free_port(struct machine *machine)
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

/* Takes the owner's events until it has taken `max` or OUTCOMES_TIMEOUT_S has passed. Returns the
 * number of events taken, and adds the number of commands that were not sent to *not_sent. */
static int take_events(struct bd_node *node, int max, int *not_sent)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(OUTCOMES_TIMEOUT_S));
    int taken = 0;
    while (taken < max && bd_time_is_before(bd_now(), end)) {
        void *item;
        if (bd_queue_take(&node->events, &item, 1, end) == 0)
            continue;
        struct bd_event *event = item;
        taken++;
        *not_sent += event->direct_command.status == BD_DIRECT_NOT_SENT;
        bd_event_free(event);
    }
    return taken;
}

static int check(const char *what, bool is_ok)
{
    printf("%s: %s\n", is_ok ? "ok  " : "FAIL", what);
    return is_ok ? 0 : 1;
}

int main(void)
{
    static struct machine machine;
    int failed = 0, not_sent = 0;
    int port = listen_on_free_port(&machine);
    struct bd_node *node = new_node();
    if (port < 0 || bd_thread_start(accept_without_response, &machine, 131072) != 0)
        return 2;
    for (uint32_t i = 0; i < COMMANDS; i++)
        send_command(node, i, port, DEADLINE_S);
    int outcomes = take_events(node, COMMANDS, &not_sent);
    int requests = atomic_load(&machine.requests);
    printf("%d outcomes, %d not sent, %d requests\n", outcomes, not_sent, requests);
    failed += check("every command has an outcome within OUTCOMES_TIMEOUT_S", outcomes == COMMANDS);
    failed += check("at least COMMANDS - SENT_MAX commands were not sent",
                    not_sent >= COMMANDS - SENT_MAX);
    failed += check("commands reported as not sent were not sent", requests <= COMMANDS - not_sent);
    failed += check("some commands were sent", requests > 0);
    not_sent = 0;
    send_command(node, 0, port, -0.001);
    failed += check("a command that is queued after its deadline is not sent",
                    take_events(node, 1, &not_sent) == 1 && not_sent == 1 &&
                        atomic_load(&machine.requests) == requests);
    return failed ? 1 : 0;
}
