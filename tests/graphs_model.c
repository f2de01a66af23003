/* The plain model of dependencies that starts, answers and records are held against. */
#include "graphs.h"
#include "numbers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void report_fault(struct graph_run *run, const char *what, int job)
{
    fprintf(stderr, "seed %lu: %s: job-%d\n", run->seed, what, job);
    run->faults++;
}

static bool has_state(struct graph_run *run, const char *id, const char *state)
{
    char key[96];
    snprintf(key, sizeof key, "j/%s", id);
    struct graph_key *record = graph_find_key(run, key);
    const char *actual = record ? json_string_value(json_object_get(record->value, "s")) : NULL;
    return actual && strcmp(actual, state) == 0;
}

/* A job is cancelled if it or one that it needs is, by the records as they are now. */
static bool is_cancelled(struct graph_run *run, int number)
{
    bool cancelled[JOBS] = {false};
    char id[32];
    for (int i = 0; i <= number; i++) { /* a job's parents have lower numbers */
        snprintf(id, sizeof id, "job-%d", i);
        cancelled[i] = has_state(run, id, "cancelled");
        for (int k = 0; k < run->jobs[i].nparents; k++)
            cancelled[i] = cancelled[i] || cancelled[run->jobs[i].parents[k]];
    }
    return cancelled[number];
}

void graph_check_start(struct graph_run *run, const char *task)
{
    int number = parse_number(task + strlen("job-"));
    char id[32];
    for (int k = 0; k < run->jobs[number].nparents; k++) {
        snprintf(id, sizeof id, "job-%d", run->jobs[number].parents[k]);
        if (!has_state(run, id, "done"))
            report_fault(run, "started too early", number);
    }
}

void graph_check_answer(struct graph_run *run, struct graph_request *request, int status,
                        const char *body)
{
    struct graph_job *job = &run->jobs[request->job];
    bool cancelled = body && strstr(body, "\"cancelled\"");
    if (status == 200 || status == 201) {
        if (request->question == ASK_SUBMIT)
            job->accepted = true;
        if (cancelled && !is_cancelled(run, request->job))
            report_fault(run, "called cancelled without reason", request->job);
        if (!cancelled && job->told_cancelled)
            report_fault(run, "called otherwise after cancelled", request->job);
        if (!cancelled && request->question == ASK_GET && is_cancelled(run, request->job))
            report_fault(run, "not called cancelled", request->job);
        job->told_cancelled = job->told_cancelled || cancelled;
        run->cancels += cancelled;
    } else if (status != 503) {
        if (request->question != ASK_SUBMIT || status != 422)
            report_fault(run, "refused", request->job);
    }
    free(request);
}

void graph_check_end(struct graph_run *run)
{
    char id[32];
    for (int n = 0; n < JOBS; n++) {
        snprintf(id, sizeof id, "job-%d", n);
        if (!run->jobs[n].accepted)
            report_fault(run, "not accepted", n);
        else if (is_cancelled(run, n) && !has_state(run, id, "cancelled"))
            report_fault(run, "its record is not cancelled", n);
        else if (!is_cancelled(run, n) && !has_state(run, id, "done"))
            report_fault(run, "never ended", n);
        run->ends += has_state(run, id, "done");
    }
}
