/* Case 6: machines are drained; another machine stops with its replicas. */
#include "case.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define MACHINES 12
#define DRAINED 4
#define SERVICES 20
#define BUDGET 1
/* A report is due every report_s plus a quarter; with a second more the leader can know that the
 * one of a machine that has stopped is missing. */
#define KNOWABLE_S (1.25 * W.site->report_s + 1.0)

static struct site region;
static int admin_port[NODES];
static char operators[NODES][256];
static struct machine *dead, *victim, *drained[DRAINED];
static int lost_job[MACHINE_TASKS_MAX], lost_index[MACHINE_TASKS_MAX], nlost;
static int halts, late_halts;

static bool all_run(void)
{
    for (int i = 0; i < W.njobs; i++)
        if (job_on_machines(&W.jobs[i], RUNNING) < W.jobs[i].chores)
            return false;
    return true;
}

static bool runs(int job, int index)
{
    for (int i = 0; i < W.nmachines; i++) {
        struct machine *m = &W.machines[i];
        for (int k = 0; !m->is_gone && !m->is_dead && k < m->ntasks; k++)
            if (m->tasks[k].job == job && m->tasks[k].index == index &&
                m->tasks[k].mood == RUNNING)
                return true;
    }
    return false;
}

/* Replicas of the team that stopped with the dead machine and do not run elsewhere. */
static int still_lost(void)
{
    int n = 0;
    for (int i = 0; i < nlost; i++)
        n += !runs(lost_job[i], lost_index[i]);
    return n;
}

/* The machine's report has just been answered. */
static bool has_just_reported(void)
{
    return !victim->in_flight && now_s() < victim->last_report_at + 0.1;
}

static void watch_halt(struct machine *m, struct task *t)
{
    halts++;
    if (!dead || still_lost() < BUDGET || now_s() < dead->died_at + KNOWABLE_S)
        return;
    if (late_halts++ == 0)
        violation("budget: the drain stops %s/%d on %s, %.1f s after %s stopped with %d replicas of "
                  "the team; the budget is %d",
                  W.jobs[t->job].id, t->index, m->id, now_s() - dead->died_at, dead->id,
                  still_lost(), BUDGET);
}

static bool write_operators(int node)
{
    snprintf(operators[node], sizeof operators[node], "%s/operators-%d.sexp", W.dir, node);
    FILE *f = fopen(operators[node], "w");
    if (!f)
        return false;
    admin_port[node] = free_port();
    fprintf(f,
            "(draining (admin \"127.0.0.1:%d\") (machines-in-step 4) (stop-s 60) (wait-s 300)\n"
            "  (replace-s 300) (keep-s 86400) (planner greedy) (teams (down 1%%))\n"
            "  (team registrator (down %d)))\n",
            admin_port[node], BUDGET);
    W.operators[node] = operators[node];
    return fclose(f) == 0;
}

/* The machines with most tasks. */
static void choose_drained(void)
{
    for (int i = 0; i < DRAINED; i++) {
        drained[i] = NULL;
        for (int k = 0; k < MACHINES; k++) {
            struct machine *m = &W.machines[k];
            bool taken = false;
            for (int d = 0; d < i; d++)
                taken |= drained[d] == m;
            if (!taken && (!drained[i] || machine_tasks(m) > machine_tasks(drained[i])))
                drained[i] = m;
        }
    }
}

static bool is_drained(const struct machine *m)
{
    for (int i = 0; i < DRAINED; i++)
        if (drained[i] == m)
            return true;
    return false;
}

static pid_t start_drain(void)
{
    char admin[32];
    const char *args[16 + 2 * DRAINED] = {W.program, "drain", "--admin", admin, "start", "winter",
                                          "--mode",  "retire"};
    int n = 8;
    snprintf(admin, sizeof admin, "127.0.0.1:%d", admin_port[0]);
    for (int i = 0; i < DRAINED; i++) {
        args[n++] = "--machine";
        args[n++] = drained[i]->id;
    }
    pid_t pid = fork();
    if (pid == 0) {
        if (!freopen("/dev/null", "w", stdout))
            _exit(126);
        execv(W.program, (char *const *)args);
        _exit(127);
    }
    return pid;
}

static int finish(int status)
{
    for (int i = 0; i < NODES; i++)
        unlink(operators[i]);
    rmdir(W.dir);
    return status;
}

int main(int argc, char **argv)
{
    region = norrvik;
    for (int zone = 0; zone < region.nzones; zone++)
        region.capacity[1][zone][0] = MACHINES / 2;
    if (!case_begin(argc, argv, &region))
        return 2;
    for (int i = 0; i < NODES; i++)
        if (!write_operators(i))
            return case_cannot("no operators' file");
    W.on_halt = watch_halt;
    for (int i = 0; i < MACHINES; i++)
        machine_add(1, i % 2, false, true);
    for (int i = 0; i < NODES; i++)
        node_start(i);
    for (int i = 0; i < SERVICES; i++) {
        struct job *j = job_add("katalog", 4);
        j->shape = SERVICE;
        j->rank = "production";
        j->team = 1;
        j->chores = 3;
        j->vcpus = 4;
        j->mem_gb = 9.2;
        j->image_gb = 0.3;
        j->scatter = true;
        j->guess_s = j->run_s = 0;
    }
    if (!world_wait(all_run, 40))
        return finish(case_cannot("the services do not run"));
    choose_drained();
    pid_t drain = start_drain();
    double asked = now_s();
    int status = -1;
    pid_t ended = 0;
    while (ended == 0 && now_s() < asked + 20) {
        world_run_until(now_s() + 0.05);
        ended = waitpid(drain, &status, WNOHANG);
    }
    if (ended != drain || status != 0)
        return finish(case_cannot("the drain was not accepted"));
    record("drain accepted");
    world_run_until(now_s() + 8);
    int before = halts;
    if (trouble) {
        for (int i = 0; i < MACHINES; i++)
            if (!W.machines[i].is_gone && !is_drained(&W.machines[i]) && machine_tasks(&W.machines[i]) > 0 &&
                (!victim || machine_tasks(&W.machines[i]) > machine_tasks(victim)))
                victim = &W.machines[i];
        if (!victim)
            return finish(case_cannot("no machine to lose"));
        if (!world_wait(has_just_reported, 6))
            return finish(case_cannot("the machine does not report"));
        for (int k = 0; k < victim->ntasks; k++)
            if (victim->tasks[k].mood == RUNNING) {
                lost_job[nlost] = victim->tasks[k].job;
                lost_index[nlost++] = victim->tasks[k].index;
            }
        machine_die(victim);
        dead = victim;
    }
    world_run_until(now_s() + 20);
    record("%d stops before, %d after", before, halts - before);
    if (before == 0 || halts == before)
        return finish(case_cannot("the drain stopped nothing"));
    return finish(case_end());
}
