/* The words of a scenario's line, and how a step fails. */
#include "scenario_play.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void play_fail(struct play *play, const char *what)
{
    fprintf(stderr, "%s:%d: %s: %s\n", play->path, play->line_number, what, play->text);
    play->faults++;
}

const char *play_text(struct play *play, const char *key)
{
    size_t length = strlen(key);
    for (int i = 1; i < play->nwords; i++)
        if (strncmp(play->words[i], key, length) == 0 && play->words[i][length] == '=')
            return play->words[i] + length + 1;
    return NULL;
}

double play_number(struct play *play, const char *key, double fallback)
{
    const char *text = play_text(play, key);
    return text ? strtod(text, NULL) : fallback;
}

bool play_flag(struct play *play, const char *key)
{
    return play_number(play, key, 0) != 0;
}

uint64_t play_attempt(const char *text)
{
    if (*text != '@')
        return strtoull(text, NULL, 10);
    char *end;
    uint64_t term = strtoull(text + 1, &end, 10);
    return (term << 20) + (*end ? strtoull(end + 1, NULL, 10) : 0);
}

uint64_t play_next_revision(struct play *play)
{
    play->store_revision = play->store_revision < 1000 ? 1000 : play->store_revision + 1;
    return play->store_revision;
}

bool play_run_step(struct play *play, const struct play_step *steps, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(play->words[0], steps[i].verb) != 0)
            continue;
        if (play->nwords < steps[i].words_min)
            play_fail(play, "too few words");
        else
            steps[i].run(play);
        return true;
    }
    return false;
}
