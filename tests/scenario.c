/* Plays a scenario, a small text file, against the core. One line, one step:
 *
 * Before anything else:
 * - set lease=10 cancel=35 report=2 ttl=3 team=a:0:0:8:16 zones=a,b aim=k:150:0.9   settings
 * - set zone=a peer=node-1:b
 * - draining (...)   switches draining on; the fields of the operators' entry
 *
 * Settings and time, scenario_settings.c:
 * - type small cpus=8 gpus=0 mem=32 boot=10 zones=a,b
 * - at 12.5   the time, in seconds
 * - seed N   where numbers begin
 * - limits BYTES CHANGES   the largest value and transaction are these now
 *
 * Jobs and users, scenario_jobs.c:
 * - job job-1 mark=5 tasks=2 cpus=2 ... [state=cancelled] [needs=job-2,job-3] [parts=HASH:N]   a
 *   change of a record that the replica sees
 * - part job-1/HASH/0 job-7,job-8 | record job-1 MARK {...} | ready | finals N
 * - state job-1 live|done|cancelled [rank=N] [ready=0|1]   what the core knows of a job
 * - looked [fail]   a refresh; lookedup JOB VERB STATUS [cancelled]   a lookup of an evicted job
 * - submit {json} | get job-1 | cancel job-1 | usercommitted STATUS
 * - heard job-1   another controller says that the job's cancellation was confirmed
 *
 * Machines, scenario_machines.c:
 * - report vm-1 small a session=1 seq=1 token=1 [notice=5] [job-1/0:@1.1:running ...]
 * - forwarded node-1 5 vm-1 small a session=1 ...   a heartbeat that another controller forwards
 * - answered 1 200 {text}   the answer to a heartbeat that we forwarded
 * - did vm-1 token=1 status=200 ...   the answer to a direct command, as report
 * - listed vm-1:small:a[:running|booting|failed] ...   a list of the cloud
 * - rented N vm-1 vm-2 (status 200), rented refused, returned vm-1
 *
 * Leadership, scenario_leader.c:
 * - gain 1 [receipt=job-1/0:03] [intent=job-1:@1.1:vm-1:0,1] | renew | lose | tick | busy
 * - peer node-1 term=0 state=1 deaf=0 hears=1 age=0   a status frame of another controller
 * - leader node-1 7 (or - 0) [away=1]   who holds the lease, by a fresh refresh
 * - delegates [p/node-1:mark:vm-1,vm-2]   the delegates' records as the leader reads them
 * - offered | confirmed | touched 28 [node-1:20]   the liveness records
 * - watch 28   as `at`, with a refresh every 2 s that shows no delegate
 * - delegatecommitted STATUS [unknown]   the fate of our own delegate's record
 * - committed ok|lost|large|failed KEY... | up 0|1   whether /up says yes
 *
 * What is expected, scenario_expect.c:
 * - expect KIND TEXT...   an effect of the kind that has all the texts; it is taken off
 * - none KIND [TEXT...]   no such effect is waiting
 * - clear   forgets the effects that wait
 * - task job-1/0 STATE [vm-1]   wait plan launch live unknown done
 * - team a cpus=2 gpus=0
 *
 * Draining, scenario_drain.c:
 * - drain NAME retire|replace [state=paused] [mark=N] vm-1 vm-2 ...   a drain's record appears, or
 *   changes; its machines' records come with it the first time
 * - stage NAME vm-1 STAGE | drainrecord NAME JSON   the records as a leader, or another program,
 *   left them
 * - drains   the leader reads the drains' records
 * - entry NAME vm-1 STAGE [wait=WORDS-WITH-DASHES] [team=a] [by=vm-9]   how far its machine is
 * - ledger TEAM[:CLASS] down=N up=N   what the ledger counts
 * - running vm-1   the machine reports that all its tasks run
 * - asks {json} | means {json} vm-1:small:a ...   an administrator's request: the words of the
 *   refusal come after `=>`; none: it is accepted
 * - passes 12.5   time passes in half seconds: renewals, ticks, commits applied
 *
 * @T.N is the N-th attempt of term T. LOG_LEVEL shows the core's log. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "model/effect.h"
#include "scenario_play.h"
#include "test_settings.h"
#include "wire/wire_cloud.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void start_core(struct play *play)
{
    if (play->core)
        return;
    if (bd_time_is_zero(play->settings.leader_ttl))
        play->settings.leader_ttl = bd_secs(3);
    play->core = bd_core_new(&play->settings, &play->log);
    if (!play->core)
        abort();
    bd_core_set_clock(play->core, bd_secs(100), 1000);
}

static void collect_effects(struct play *play)
{
    struct bd_effect **tail = &play->effects;
    while (*tail)
        tail = &(*tail)->next;
    *tail = bd_effects_take(play->core);
    for (const struct bd_effect *effect = *tail; play->digest && effect; effect = effect->next)
        behaviour_digest_effect(play->digest, bd_to_secs(play->core->now), 0, effect, 0);
}

static void play_line(struct play *play)
{
    if (strcmp(play->words[0], "set") == 0) {
        play_set(play);
        return;
    }
    if (strcmp(play->words[0], "draining") == 0) {
        play_draining(play);
        return;
    }
    start_core(play);
    if (!play_settings_step(play) && !play_job_step(play) && !play_machine_step(play) &&
        !play_leader_step(play) && !play_expect_step(play) && !play_drain_step(play))
        play_fail(play, "unknown step");
    collect_effects(play);
}

/* Returns how many steps the file has. */
static int play_file(struct play *play, FILE *file)
{
    char line[4096], copy[4096];
    int steps = 0;
    while (fgets(line, sizeof line, file)) {
        play->line_number++;
        line[strcspn(line, "\n")] = '\0';
        if (line[0] == '#' || line[strspn(line, " ")] == '\0')
            continue;
        snprintf(copy, sizeof copy, "%s", line);
        play->text = line;
        play->nwords = 0;
        for (char *rest = NULL, *word = strtok_r(copy, " ", &rest);
             word && play->nwords < PLAY_WORDS_MAX; word = strtok_r(NULL, " ", &rest))
            play->words[play->nwords++] = word;
        play_line(play);
        steps++;
    }
    return steps;
}

/* scenario FILE [digest|steps]: with a digest of its effects, or with each of them */
int main(int argc, char **argv)
{
    struct play play = {.log = {BD_LOG_ERROR, "scenario"}};
    struct behaviour_digest digest;
    bool traced = argc == 3 && strcmp(argv[2], "steps") == 0;
    if (argc != 2 && !traced && (argc != 3 || strcmp(argv[2], "digest") != 0))
        return 2;
    behaviour_digest_start(&digest, traced ? stdout : NULL);
    play.digest = argc == 3 ? &digest : NULL;
    play.path = argv[1];
    FILE *file = fopen(argv[1], "r");
    if (!file) {
        perror(argv[1]);
        return 2;
    }
    test_settings_init(&play.settings);
    if (getenv("LOG_LEVEL"))
        play.log.level = bd_log_level_parse(getenv("LOG_LEVEL"));
    int steps = play_file(&play, file);
    (void)fclose(file);
    if (play.digest)
        printf("digest %016llx of %llu steps\n", (unsigned long long)digest.hash,
               (unsigned long long)digest.steps);
    play_clear_effects(&play);
    bd_core_free(play.core);
    free(play.settings.draining);
    json_decref(play.drains);
    json_decref(play.sets);
    if (steps == 0) {
        fprintf(stderr, "%s: no steps\n", argv[1]);
        return 1;
    }
    return play.faults ? 1 : 0;
}
