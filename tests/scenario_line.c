/* Parses the lines of a scenario, finds the step of a line, and reports failures. */
#include "scenario_play.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void scenario_fail(struct scenario *scenario, const char *reason)
{
    fprintf(stderr, "%s:%d: %s: %s\n", scenario->path, scenario->line_number, reason,
            scenario->text);
    scenario->failures++;
}

const char *scenario_find_text(struct scenario *scenario, const char *key)
{
    size_t length = strlen(key);
    for (int i = 1; i < scenario->word_count; i++)
        if (strncmp(scenario->words[i], key, length) == 0 && scenario->words[i][length] == '=')
            return scenario->words[i] + length + 1;
    return NULL;
}

double scenario_find_number(struct scenario *scenario, const char *key, double fallback)
{
    const char *text = scenario_find_text(scenario, key);
    return text ? strtod(text, NULL) : fallback;
}

bool scenario_find_flag(struct scenario *scenario, const char *key)
{
    return scenario_find_number(scenario, key, 0) != 0;
}

uint64_t scenario_parse_attempt(const char *text)
{
    if (*text != '@')
        return strtoull(text, NULL, 10);
    char *end;
    uint64_t term = strtoull(text + 1, &end, 10);
    return (term << 20) + (*end ? strtoull(end + 1, NULL, 10) : 0);
}

uint64_t scenario_next_revision(struct scenario *scenario)
{
    scenario->store_revision =
        scenario->store_revision < 1000 ? 1000 : scenario->store_revision + 1;
    return scenario->store_revision;
}

bool scenario_run_step(struct scenario *scenario, const struct scenario_step *steps, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(scenario->words[0], steps[i].name) != 0)
            continue;
        if (scenario->word_count < steps[i].words_min)
            scenario_fail(scenario, "too few words");
        else
            steps[i].run(scenario);
        return true;
    }
    return false;
}
