/* Parses JSON texts of other programs within a limit of memory: an empty object of
 * 3 bytes takes more than 700 once it is parsed. */
#ifndef RK_COMMON_JSON_TEXT_H
#define RK_COMMON_JSON_TEXT_H

#include <json-c/json.h>
#include <stddef.h>

/* Limit for one text, of what a node of 120 MB may use. */
#define RK_JSON_PARSED_MAX_BYTES (40 * 1024 * 1024)

/* Levels of objects and arrays. What is nested deeper is read as 0, so that one
 * deep object does not have all others of an answer lost with it. */
#define RK_JSON_NESTING_MAX 512

/* Returns an upper estimate of the bytes that a text takes once it is parsed. */
size_t rk_json_parsed_size(const char *text, size_t len);

/* Puts 0 in the place of values that would keep the rest of a text from being
 * parsed: those nested too deep and, as long as the text takes more than max bytes
 * once it is parsed, the largest objects and arrays at a level. The outermost value
 * of a text is at level 1. Of a member "metadata" at that level, whose contents
 * tell the others apart, only members are replaced. Returns the parsed size that is
 * left, which may still exceed max. */
size_t rk_json_trim(char *text, size_t len, int level, size_t max);

/* Parses a text that rk_json_trim() has been applied to, whatever its size. Returns
 * NULL, with a last error message, if it is no JSON. The caller owns the value. */
struct json_object *rk_json_parse_trimmed(const char *text, size_t len);

/* Parses a text of at most RK_JSON_PARSED_MAX_BYTES by that estimate. Returns NULL,
 * with a last error message, if it is larger or no JSON. The caller owns the value.
 */
struct json_object *rk_json_parse(const char *text, size_t len);
/* Like rk_json_parse(), but of a larger text leaves out what rk_json_trim() does
 * for that level. */
struct json_object *rk_json_parse_list(const char *text, size_t len, int level);

#endif
