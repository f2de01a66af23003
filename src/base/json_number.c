#include "base/json_number.h"
#include <float.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define UNSIGNED_DIGITS_MAX 20    /* of 2^64 - 1 */
#define EXPONENT_MAX 1000000L     /* larger ones act alike: a body has fewer digits */
#define PRECISE_DOUBLE_END 0x1p53 /* from here on, doubles have no fractions */
#define UNSIGNED_END 0x1p64       /* the first number that 64 bits cannot hold */

enum number_kind { NUMBER_WHOLE, NUMBER_FRACTION, NUMBER_TOO_LARGE };

/* The significant digits of a number, without zeros at either end: 0.DIGITS * 10^point. */
struct decimal {
    const char *first, *last; /* the significant digits; the decimal point may lie between them */
    long digits, point;
};

static long read_exponent(const char *text)
{
    long exponent = strtol(text, NULL, 10);
    if (exponent > EXPONENT_MAX)
        return EXPONENT_MAX;
    return exponent < -EXPONENT_MAX ? -EXPONENT_MAX : exponent;
}

/* Finds the significant digits. digits == 0: the number is zero. */
static struct decimal read_decimal(const char *text)
{
    struct decimal decimal = {0};
    bool is_after_point = false;
    long seen = 0;
    const char *c = text;
    for (; *c && *c != 'e' && *c != 'E'; c++) {
        is_after_point |= *c == '.';
        if (*c < '0' || *c > '9')
            continue;
        if (*c != '0' && !decimal.first)
            decimal.first = c;
        decimal.point += decimal.first && !is_after_point;
        decimal.point -= !decimal.first && is_after_point;
        seen += decimal.first != NULL;
        if (*c != '0') {
            decimal.last = c;
            decimal.digits = seen;
        }
    }
    if (*c)
        decimal.point += read_exponent(c + 1);
    return decimal;
}

static bool append_digit(uint64_t *number, uint64_t digit)
{
    return !__builtin_mul_overflow(*number, UINT64_C(10), number) &&
           !__builtin_add_overflow(*number, digit, number);
}

/* Classifies the magnitude of a number. NUMBER_WHOLE: `out` is its value. */
static enum number_kind read_magnitude(const char *text, uint64_t *out)
{
    struct decimal decimal = read_decimal(text);
    *out = 0;
    if (decimal.digits == 0)
        return NUMBER_WHOLE;
    if (decimal.digits > decimal.point)
        return NUMBER_FRACTION;
    if (decimal.point > UNSIGNED_DIGITS_MAX)
        return NUMBER_TOO_LARGE;
    for (const char *c = decimal.first; c <= decimal.last; c++)
        if (*c != '.' && !append_digit(out, (uint64_t)(*c - '0')))
            return NUMBER_TOO_LARGE;
    for (long zeros = decimal.point - decimal.digits; zeros > 0; zeros--)
        if (!append_digit(out, 0))
            return NUMBER_TOO_LARGE;
    return NUMBER_WHOLE;
}

static json_t *finite_real(double value)
{
    return json_real(isfinite(value) ? value : copysign(DBL_MAX, value));
}

/* The nearest double that does not read as an integer. */
static json_t *fraction(double value)
{
    if (fabs(value) >= PRECISE_DOUBLE_END)
        return json_real(copysign(DBL_MAX, value));
    return json_real(floor(value) == value ? nextafter(value, HUGE_VAL) : value);
}

json_t *bd_json_unsigned(uint64_t number)
{
    return json_integer((json_int_t)number);
}

json_t *bd_json_number(const char *text, size_t len)
{
    uint64_t number;
    double value = strtod(text, NULL);
    enum number_kind kind = read_magnitude(text, &number);
    if (kind == NUMBER_FRACTION)
        return fraction(value);
    if (kind == NUMBER_TOO_LARGE || (*text == '-' && number != 0))
        return finite_real(value);
    bool is_plain = !memchr(text, '.', len) && !memchr(text, 'e', len) && !memchr(text, 'E', len);
    bool is_exact = (double)number < UNSIGNED_END && (uint64_t)(double)number == number;
    if (is_plain || !is_exact)
        return bd_json_unsigned(number);
    return json_real((double)number);
}

bool bd_json_read_unsigned(const json_t *value, uint64_t *out)
{
    if (json_is_integer(value)) {
        *out = (uint64_t)json_integer_value(value);
        return true;
    }
    double number = json_real_value(value);
    if (!json_is_real(value) || number < 0 || number >= UNSIGNED_END || floor(number) != number)
        return false;
    *out = (uint64_t)number;
    return true;
}
