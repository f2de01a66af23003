/* The project's fake workers (tests/fake_worker.c) for machines of several types. Each sends heartbeats from its own thread and accepts direct commands. */
#include "base/http.h"
#include "base/timeutil.h"
#include "fake_server_internal.h"
#include "key_table.h"
#include "park.h"
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_INTERVAL_S 0.2 /* report_s in the loopback tests' settings */
#define HEARTBEAT_TIMEOUT_S 2

static bool runs_on_other_worker(struct fake_cluster *cluster, const struct fake_worker *worker,
                                 const char *name)
{
    for (int i = 0; i < cluster->nworkers; i++)
        for (int k = 0;
             cluster->workers[i].is_used && &cluster->workers[i] != worker && k < WORKER_TASKS_MAX;
             k++)
            if (cluster->workers[i].tasks[k].state == FAKE_RUNNING &&
                strcmp(cluster->workers[i].tasks[k].name, name) == 0)
                return true;
    return false;
}

static void notify_observer(struct fake_cluster *cluster, enum fake_task_event event,
                            const char *task)
{
    if (cluster->task_observer)
        cluster->task_observer(cluster->task_observer_arg, event, task);
}

void fake_lose_tasks(struct fake_worker *worker)
{
    for (int i = 0; i < WORKER_TASKS_MAX; i++)
        if (worker->tasks[i].state == FAKE_RUNNING)
            notify_observer(worker->cluster, FAKE_TASK_LOST, worker->tasks[i].name);
    memset(worker->tasks, 0, sizeof worker->tasks);
}

static struct fake_task *find_task(struct fake_worker *worker, const char *name, uint64_t attempt)
{
    for (int i = 0; i < WORKER_TASKS_MAX; i++)
        if (worker->tasks[i].state != FAKE_FREE && strcmp(worker->tasks[i].name, name) == 0 &&
            worker->tasks[i].attempt == attempt)
            return &worker->tasks[i];
    return NULL;
}

static bool is_job_done(struct fake_cluster *cluster, const char *id)
{
    char key[96];
    snprintf(key, sizeof key, "j/%s", id);
    struct table_key *record = table_find(&cluster->store_table, key);
    const char *state = record ? json_string_value(json_object_get(record->value, "s")) : NULL;
    return state && strcmp(state, "done") == 0;
}

/* Whether the task's job awaits a job that is not done according to the current records. */
static bool awaits_unfinished_job(struct fake_cluster *cluster, const char *task)
{
    char key[96];
    json_t *item;
    size_t i;
    snprintf(key, sizeof key, "j/%.*s", (int)strcspn(task, "/"), task);
    struct table_key *record = table_find(&cluster->store_table, key);
    json_array_foreach(record ? json_object_get(record->value, "awaits") : NULL, i, item)
    {
        if (!is_job_done(cluster, json_string_value(item)))
            return true;
    }
    return false;
}

static void launch_task(struct fake_worker *worker, const char *name, uint64_t attempt)
{
    if (find_task(worker, name, attempt))
        return;
    for (int i = 0; i < WORKER_TASKS_MAX; i++) {
        struct fake_task *task = &worker->tasks[i];
        if (task->state != FAKE_FREE)
            continue;
        if (runs_on_other_worker(worker->cluster, worker, name))
            worker->cluster->duplicate_runs++;
        worker->cluster->task_starts++;
        worker->cluster->early_task_starts += awaits_unfinished_job(worker->cluster, name);
        snprintf(task->name, sizeof task->name, "%s", name);
        task->attempt = attempt;
        task->state = FAKE_RUNNING;
        task->is_service = strncmp(name, "job-9", 5) == 0; /* the tests' service jobs */
        task->ends_at = bd_time_add(bd_now(), bd_secs(TASK_RUN_S));
        notify_observer(worker->cluster, FAKE_TASK_STARTED, name);
        return;
    }
}

static void execute_command(struct fake_worker *worker, json_t *command)
{
    const char *verb = json_string_value(json_object_get(command, "verb"));
    const char *name = json_string_value(json_object_get(command, "chore"));
    uint64_t attempt = (uint64_t)json_integer_value(json_object_get(command, "try"));
    struct fake_task *task = name ? find_task(worker, name, attempt) : NULL;
    if (!verb || !name)
        return;
    if (strcmp(verb, "launch") == 0) {
        launch_task(worker, name, attempt);
    } else if (task && strcmp(verb, "halt") == 0 && task->state == FAKE_RUNNING) {
        task->state = FAKE_EXITED;
        task->exit_cause = "stopped";
        notify_observer(worker->cluster, FAKE_TASK_STOPPED, name);
    } else if (task && strcmp(verb, "forget") == 0 && task->state == FAKE_EXITED) {
        task->state = FAKE_FREE;
    }
}

/* Builds the worker's next heartbeat. Tasks whose run time is over exit first. */
static json_t *next_heartbeat(struct fake_worker *worker)
{
    json_t *tasks = json_array();
    struct timespec now = bd_now();
    char addr[32];
    for (int i = 0; i < WORKER_TASKS_MAX; i++) {
        struct fake_task *task = &worker->tasks[i];
        if (task->state == FAKE_RUNNING && !task->is_service &&
            bd_time_is_before(task->ends_at, now)) {
            task->state = FAKE_EXITED;
            task->exit_cause = "done";
        }
        if (task->state == FAKE_RUNNING)
            json_array_append_new(tasks, json_pack("{s:s,s:I,s:s}", "chore", task->name, "try",
                                                   (json_int_t)task->attempt, "mood", "running"));
        else if (task->state == FAKE_EXITED)
            json_array_append_new(tasks, json_pack("{s:s,s:I,s:s,s:s}", "chore", task->name, "try",
                                                   (json_int_t)task->attempt, "mood", "exited",
                                                   "cause", task->exit_cause));
    }
    snprintf(addr, sizeof addr, "127.0.0.1:%d", worker->port);
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "hearth", worker->id, "endpoint",
                     addr, "breed", park_type_of(worker)->label, "glade", "a", "windfall", 0, "tenancy",
                     (json_int_t)worker->incarnation, "tally", (json_int_t)++worker->heartbeat_seq,
                     "seal", (json_int_t)worker->fencing_token, "warningS", "chores", tasks);
}

/* False: the fencing token is missing or outdated, and no command is executed. */
static bool execute_commands(struct fake_worker *worker, json_t *request)
{
    json_t *item;
    size_t i;
    uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(request, "seal"));
    if (fencing_token < worker->fencing_token || !json_object_get(request, "seal"))
        return false;
    worker->fencing_token = fencing_token;
    json_array_foreach(json_object_get(request, "bids"), i, item)
    {
        execute_command(worker, item);
    }
    return true;
}

int fake_worker_handle(void *arg, const char *method, const char *url,
                       struct MHD_Connection *connection, json_t *request, json_t **response)
{
    struct fake_worker *worker = arg;
    (void)method;
    (void)url;
    (void)connection;
    json_t *incarnation = json_object_get(request, "tenancy");
    if (worker->is_dead)
        return NO_RESPONSE;
    bool is_current = (uint64_t)json_integer_value(incarnation) == worker->incarnation;
    int status = is_current && execute_commands(worker, request) ? 200 : 409;
    *response = next_heartbeat(worker);
    return status;
}

int fake_node_index(const struct fake_cluster *cluster, const char *name)
{
    for (int i = 0; name && i < cluster->nnodes; i++)
        if (name[strlen(name) - 1] == '0' + i)
            return i;
    return -1;
}

static void expire_lease(struct fake_worker *worker)
{
    if (bd_seconds_between(worker->lease_started_at, bd_now()) <= LEASE_S)
        return;
    worker->cluster->lease_expiries++;
    worker->incarnation++;
    worker->lease_started_at = bd_now();
    fake_lose_tasks(worker);
}

/* Sends one heartbeat to the controller `*node` and sets `*node` to the controller for the
 * next heartbeat. A dead or returned worker sends none. Returns false if the worker was returned.
 */
static bool send_heartbeat(struct fake_worker *worker, struct bd_http *client, int *node)
{
    struct fake_cluster *cluster = worker->cluster;
    pthread_mutex_lock(&cluster->lock);
    bool is_returned = worker->is_returned, is_dead = worker->is_dead;
    expire_lease(worker);
    struct timespec sent_at = bd_now();
    uint64_t incarnation = worker->incarnation;
    json_t *heartbeat = next_heartbeat(worker);
    pthread_mutex_unlock(&cluster->lock);
    char *text = json_dumps(heartbeat, JSON_COMPACT), url[96];
    json_decref(heartbeat);
    struct bd_http_response reply = {0};
    snprintf(url, sizeof url, "http://%s/checkin", cluster->node_addresses[*node]);
    if (!is_returned && !is_dead)
        bd_http_call(client, "POST", url, text, HEARTBEAT_TIMEOUT_S, &reply);
    free(text);
    json_t *content = reply.body ? json_loadb(reply.body, reply.len, 0, NULL) : NULL;
    pthread_mutex_lock(&cluster->lock);
    int leader = -1;
    if (reply.status == 200 && incarnation == worker->incarnation &&
        execute_commands(worker, content))
        worker->lease_started_at = sent_at;
    else if (reply.status == 421)
        leader = fake_node_index(cluster, json_string_value(json_object_get(content, "steward")));
    if (reply.status != 200)
        *node = leader >= 0 ? leader : (*node + 1) % cluster->nnodes;
    pthread_mutex_unlock(&cluster->lock);
    json_decref(content);
    bd_http_response_free(&reply);
    return !is_returned;
}

void *fake_worker_run(void *arg)
{
    struct fake_worker *worker = arg;
    struct bd_http *client = bd_http_new(2, NULL);
    int node = 0;
    while (send_heartbeat(worker, client, &node))
        bd_sleep(HEARTBEAT_INTERVAL_S);
    bd_http_free(client);
    return NULL;
}
