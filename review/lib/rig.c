#include "rig.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define FIRST_PORT 20000 /* below the range of ephemeral ports */
#define PORTS_PER_RANGE 160
#define PORT_RANGES 70
#define PEER_PORT 10
#define CLOUD_PORT 21
#define STORE_PORT 22
#define WORKER_PORT 30

static double started_at;

double rig_elapsed(void)
{
    return rig_now() - started_at;
}

double rig_now(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

void rig_sleep(double seconds)
{
    struct timespec span = {(time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9)};
    while (nanosleep(&span, &span) != 0 && errno == EINTR)
        ;
}

void rig_note(struct rig *rig, const char *format, ...)
{
    va_list args;
    char line[1024];
    va_start(args, format);
    (void)vsnprintf(line, sizeof line, format, args);
    va_end(args);
    fprintf(rig->record, "%8.3f %s\n", rig_now() - started_at, line);
    (void)fflush(rig->record);
}

/* ---- settings ---- */

static void write_settings(struct rig *rig, int node)
{
    const struct rig_options *o = &rig->options;
    char peer[32], other[32], cloud[32], store[32], name[16];
    json_t *others = json_array();
    for (int k = 0; k < RIG_NODES; k++) {
        snprintf(other, sizeof other, "127.0.0.1:%d", rig->first_port + PEER_PORT + k);
        snprintf(name, sizeof name, "hearth-%d", k);
        if (k != node)
            json_array_append_new(others, json_pack("{s:s,s:s,s:s}", "node_name", name, "location",
                                                    "a", "addr", other));
    }
    snprintf(name, sizeof name, "hearth-%d", node);
    snprintf(peer, sizeof peer, "127.0.0.1:%d", rig->first_port + PEER_PORT + node);
    snprintf(store, sizeof store, "127.0.0.1:%d", rig->first_port + STORE_PORT + node);
    snprintf(cloud, sizeof cloud, "127.0.0.1:%d", rig->first_port + CLOUD_PORT);
    json_t *team = json_pack("{s:s,s:f,s:f,s:f,s:f}", "name", "blue", "cpus", 0.0, "cpus_max",
                             o->cpus_max, "gpus", 0.0, "gpus_max", 0.0);
    json_t *facts = json_object();
    json_object_set_new(facts, "count", json_integer(RIG_NODES));
    json_object_set_new(facts, "zones", json_pack("[s]", "a"));
    json_object_set_new(facts, "teams", json_pack("[o]", team));
    json_object_set_new(facts, "objectives", json_array());
    json_object_set_new(facts, "workers",
                        json_pack("{s:f,s:f,s:f,s:f,s:f}", "report_s", o->report_s, "lease_s",
                                  o->lease_s, "gang_wait_s", 30.0, "gang_peer_s", 4.0, "cancel_s",
                                  o->cancel_s));
    json_object_set_new(facts, "state",
                        json_pack("{s:f,s:f,s:f,s:i}", "rps", o->state_rps, "write_rps",
                                  o->write_rps, "value_kb", o->value_kb, "txn_ops", o->txn_ops));
    json_object_set_new(facts, "cloud",
                        json_pack("{s:f,s:f}", "rps", o->cloud_rps, "list_lag_s", o->list_lag_s));
    json_object_set_new(facts, "limits",
                        json_pack("{s:f,s:f,s:i}", "cpu", o->cpu, "ram_mb", o->ram_mb,
                                  "max_sockets", o->max_sockets));
    json_object_set_new(facts, "clock_error_ms", json_real(5.0));
    json_t *settings =
        json_pack("{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:o}", "node_name", name, "location", "a",
                  "front", rig->addr[node], "mesh_addr", peer, "others", others, "external",
                  "cloud", o->cloud_addr ? o->cloud_addr : cloud, "state",
                  o->state_addr[node] ? o->state_addr[node] : store, "facts", facts);
    if (!settings || json_dump_file(settings, rig->settings_file[node], 0) != 0)
        abort();
    json_decref(settings);
}

/* ---- processes ---- */

static void start_locked(struct rig *rig, int node)
{
    const char *level = getenv("LOG_LEVEL");
    pid_t pid = fork();
    if (pid == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = open(rig->log_file[node], O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (log >= 0)
            (void)dup2(log, STDERR_FILENO);
        /* spares this machine if a process grows faster than the platform looks */
        const struct rlimit memory_max = {1ul << 30, 1ul << 30};
        (void)setrlimit(RLIMIT_DATA, &memory_max);
        (void)setenv("LOG_LEVEL", level ? level : "info", 1);
        execl(rig->program, rig->program, "--config", rig->settings_file[node], (char *)NULL);
        _exit(127);
    }
    rig->pid[node] = pid;
    rig->restart_at[node] = 0;
    rig->peak_kb[node] = 0;
}

void rig_start_node(struct rig *rig, int node)
{
    pthread_mutex_lock(&rig->lock);
    start_locked(rig, node);
    pthread_mutex_unlock(&rig->lock);
}

/* The largest memory that the process has held, without pages of files, in KiB; where the system keeps
 * no peak, what it holds now. */
static long peak_memory_kb(pid_t pid)
{
    char path[64], line[160];
    long peak = 0, now = 0, file = 0, shared = 0;
    snprintf(path, sizeof path, "/proc/%d/status", (int)pid);
    FILE *status = fopen(path, "r");
    while (status && fgets(line, sizeof line, status)) {
        (void)sscanf(line, "VmHWM: %ld", &peak);
        (void)sscanf(line, "VmRSS: %ld", &now);
        (void)sscanf(line, "RssFile: %ld", &file);
        (void)sscanf(line, "RssShmem: %ld", &shared);
    }
    if (status)
        (void)fclose(status);
    peak = peak > now ? peak : now;
    return peak > file + shared ? peak - file - shared : 0;
}

static void check_node(struct rig *rig, int node)
{
    int status;
    pid_t pid = rig->pid[node];
    if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
        rig_note(rig, "platform: hearth-%d ended by itself, status %d; restart in %.1f s", node,
                 status, rig->options.restart_s);
        rig->other_ends++;
        rig->pid[node] = 0;
        rig->restart_at[node] = rig_now() + rig->options.restart_s;
    } else if (pid > 0) {
        long peak = peak_memory_kb(pid);
        if (peak > rig->peak_kb[node])
            rig->peak_kb[node] = peak;
        if (rig->options.enforces_memory && (double)peak > rig->options.ram_mb * 1e6 / 1024) {
            rig_note(rig,
                     "platform: hearth-%d held %.1f MB of its %.0f MB: killed for memory; restart "
                     "in %.1f s",
                     node, (double)peak * 1024 / 1e6, rig->options.ram_mb, rig->options.restart_s);
            (void)kill(pid, SIGKILL);
            (void)waitpid(pid, NULL, 0);
            rig->memory_ends++;
            rig->pid[node] = 0;
            rig->restart_at[node] = rig_now() + rig->options.restart_s;
        }
    } else if (rig->restart_at[node] > 0 && rig_now() >= rig->restart_at[node]) {
        rig_note(rig, "platform: hearth-%d started again", node);
        start_locked(rig, node);
    }
}

static void *run_platform(void *arg)
{
    struct rig *rig = arg;
    bool is_stopping = false;
    while (!is_stopping) {
        pthread_mutex_lock(&rig->lock);
        is_stopping = rig->is_stopping;
        for (int i = 0; i < RIG_NODES && !is_stopping; i++)
            check_node(rig, i);
        pthread_mutex_unlock(&rig->lock);
        rig_sleep(0.005);
    }
    return NULL;
}

void rig_crash(struct rig *rig, int node)
{
    pthread_mutex_lock(&rig->lock);
    if (rig->pid[node] > 0) {
        rig_note(rig, "DISRUPTION: hearth-%d crashes (SIGKILL); back in %.1f s", node,
                 rig->options.restart_s);
        (void)kill(rig->pid[node], SIGKILL);
        (void)waitpid(rig->pid[node], NULL, 0);
        rig->pid[node] = 0;
        rig->restart_at[node] = rig_now() + rig->options.restart_s;
    }
    pthread_mutex_unlock(&rig->lock);
}

/* ---- set-up ---- */

/* Keeps the last port of a range bound until the process ends. */
static int reserve_ports(void)
{
    for (int i = 0; i < PORT_RANGES; i++) {
        int base = FIRST_PORT + (int)((getpid() + i) % PORT_RANGES) * PORTS_PER_RANGE;
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons((uint16_t)(base + PORTS_PER_RANGE - 1))};
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (fd >= 0 && bind(fd, (struct sockaddr *)&address, sizeof address) == 0)
            return base;
        if (fd >= 0)
            (void)close(fd);
    }
    return -1;
}

static void observe_task(void *arg, enum fake_task_event event, const char *task)
{
    static const char *const names[] = {"started", "stopped", "lost"};
    rig_note(arg, "worker: %s %s", task, names[event]);
}

bool rig_open(struct rig *rig, const char *program, const char *record_path,
              const struct rig_options *options)
{
    const char *tmp = getenv("TMPDIR");
    memset(rig, 0, sizeof *rig);
    started_at = rig_now();
    rig->options = *options;
    rig->program = program;
    rig->record = fopen(record_path, "w");
    rig->first_port = reserve_ports();
    snprintf(rig->dir, sizeof rig->dir, "%.60s/bd-review-XXXXXX", tmp ? tmp : "/tmp");
    if (!rig->record || rig->first_port < 0 || !mkdtemp(rig->dir) || bd_http_global_init() != 0 ||
        pthread_mutex_init(&rig->lock, NULL) != 0 || access(program, X_OK) != 0)
        return false;
    (void)signal(SIGPIPE, SIG_IGN);
    rig->client = bd_http_new(4, NULL);
    for (int i = 0; i < RIG_NODES; i++) {
        snprintf(rig->addr[i], sizeof rig->addr[i], "127.0.0.1:%d", rig->first_port + i);
        rig->node_addresses[i] = rig->addr[i];
        snprintf(rig->settings_file[i], sizeof rig->settings_file[i], "%s/hearth-%d.json", rig->dir,
                 i);
        snprintf(rig->log_file[i], sizeof rig->log_file[i], "%s/hearth-%d.log", rig->dir, i);
        write_settings(rig, i);
    }
    rig->cluster =
        fake_cluster_new(rig->first_port + STORE_PORT, rig->first_port + CLOUD_PORT,
                         rig->first_port + WORKER_PORT, rig->node_addresses, RIG_NODES);
    if (!rig->cluster || !rig->client)
        return false;
    fake_set_task_observer(rig->cluster, observe_task, rig);
    return pthread_create(&rig->platform, NULL, run_platform, rig) == 0;
}

bool rig_start_all(struct rig *rig)
{
    double end = rig_now() + 20;
    for (int i = 0; i < RIG_NODES; i++)
        rig_start_node(rig, i);
    for (int i = 0; i < RIG_NODES;) {
        if (rig_request(rig, i, "GET", "/up", NULL, 1, NULL, 0) == 200)
            i++;
        else if (rig_now() > end)
            return false;
        else
            rig_sleep(0.1);
    }
    return rig_wait_leader(rig, 10) >= 0;
}

int rig_leader(struct rig *rig)
{
    return fake_store_leader(rig->cluster);
}

int rig_wait_leader(struct rig *rig, double seconds)
{
    double end = rig_now() + seconds;
    while (rig_leader(rig) < 0 && rig_now() < end)
        rig_sleep(0.02);
    return rig_leader(rig);
}

/* ---- requests ---- */

long rig_request(struct rig *rig, int node, const char *method, const char *path, const char *body,
                 double timeout_s, char *out, size_t capacity)
{
    char url[192];
    struct bd_http_response response;
    snprintf(url, sizeof url, "http://%s%s", rig->addr[node], path);
    bd_http_call(rig->client, method, url, body, timeout_s, &response);
    if (out)
        snprintf(out, capacity, "%s", response.body ? response.body : "");
    long status = response.status;
    bd_http_response_free(&response);
    return status;
}

static bool is_final(long status)
{
    return status == 200 || status == 201 || status == 400 || status == 404 || status == 422;
}

long rig_user(struct rig *rig, const char *method, const char *path, const char *body,
              double seconds, char *out, size_t capacity)
{
    static int next;
    char text[256] = "";
    double end = rig_now() + seconds;
    long status = 0;
    bool is_get = strcmp(method, "GET") == 0;
    do {
        int node = next++ % RIG_NODES;
        status = rig_request(rig, node, method, path, body, is_get ? 2 : 5, text, sizeof text);
        rig_note(rig, "user: %s %s at hearth-%d: %ld %s", method, path, node, status, text);
        if (!is_final(status))
            rig_sleep(1.0);
    } while (!is_final(status) && rig_now() < end);
    if (out)
        snprintf(out, capacity, "%s", text);
    return status;
}

static double submitted_vcpus = 1, submitted_mem_gb = 1;

void rig_set_amounts(double vcpus, double mem_gb)
{
    submitted_vcpus = vcpus;
    submitted_mem_gb = mem_gb;
}

char *rig_submission(const char *id, const char *shape, int tasks, const char *extra)
{
    static char text[70000];
    snprintf(text, sizeof text,
             "{\"id\":\"%s\",\"kin\":\"k\",\"household\":\"blue\",\"shape\":\"%s\",\"rank\":"
             "\"standard\",\"chores\":%d,\"vcpus\":%.12g,\"accelerators\":0.0,\"memGb\":%.12g,\"seed\":"
             "\"img\",\"imageGb\":1.0,\"breeds\":null,\"glade\":null,\"together\":false,"
             "\"scatter\":false,\"windfall\":false,\"guessS\":1.0,\"markS\":0.0,\"stowS\":0.0,"
             "\"dueS\":null%s}",
             id, shape, tasks, submitted_vcpus, submitted_mem_gb, extra);
    return text;
}

long rig_submit(struct rig *rig, const char *id, const char *shape, int tasks, const char *extra,
                double seconds)
{
    rig_note(rig, "user: submits %s, %s of %d tasks of %.12g CPUs and %.12g GB", id, shape, tasks,
             submitted_vcpus, submitted_mem_gb);
    return rig_user(rig, "POST", "/submissions", rig_submission(id, shape, tasks, extra), seconds,
                    NULL, 0);
}

bool rig_wait_for(struct rig *rig, const char *id, const char *text, double seconds)
{
    char path[80], out[256];
    double end = rig_now() + seconds;
    snprintf(path, sizeof path, "/submissions/%s", id);
    while (rig_now() < end) {
        if (rig_user(rig, "GET", path, NULL, 1, out, sizeof out) == 200 && strstr(out, text))
            return true;
        rig_sleep(1.0);
    }
    return false;
}

/* ---- end ---- */

void rig_close(struct rig *rig)
{
    const char *keep = getenv("KEEP_LOGS");
    pthread_mutex_lock(&rig->lock);
    rig->is_stopping = true;
    for (int i = 0; i < RIG_NODES; i++) {
        if (rig->pid[i] > 0) {
            (void)kill(rig->pid[i], SIGKILL);
            (void)waitpid(rig->pid[i], NULL, 0);
        }
        rig->pid[i] = 0;
    }
    pthread_mutex_unlock(&rig->lock);
    (void)pthread_join(rig->platform, NULL);
    fake_cluster_stop(rig->cluster);
    for (int i = 0; i < RIG_NODES && !keep; i++) {
        (void)unlink(rig->settings_file[i]);
        (void)unlink(rig->log_file[i]);
    }
    if (keep)
        fprintf(stderr, "logs: %s\n", rig->dir);
    else
        (void)rmdir(rig->dir);
    bd_http_free(rig->client);
    (void)fclose(rig->record);
}
