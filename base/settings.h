#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Settings of a program: an INI file that is read into a struct as described by a table. All errors
 * in the file are reported with file, line and key before the program starts its work.
 */

/* Type of a setting and of its field in the settings struct. */
enum settings_type {
	SETTINGS_INT,  /* int64_t from min to max */
	SETTINGS_REAL, /* double from min to max */
	SETTINGS_TEXT, /* char *, freed by settings_clear(); may be empty only if min is 0 */
	SETTINGS_ADDR  /* char * IP:PORT, freed by settings_clear(); may be empty only if it has a
			  default */
};

/* One row of the table: a setting and its field. */
struct settings_item {
	const char *section; /* section of the file, without brackets */
	const char *key;     /* key in the section */
	enum settings_type type;
	size_t offset;	     /* offset of the field in the settings struct, in bytes */
	const char *initial; /* default value; NULL: the file must have the setting */
	int64_t min; /* smallest allowed number; SETTINGS_TEXT: above 0 forbids an empty text */
	int64_t max; /* largest allowed number */
};

/*
 * Reads the file at path into the struct at target. Appends one line for each error to errors.
 * Returns 0, BASE_EFILE or BASE_ESETTING. After an error the struct may only be cleared.
 */
int settings_load(const char *path, const struct settings_item *items, size_t n, void *target,
		  GString *errors) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Returns a hash of the effective values of all settings in the given sections, a list that ends
 * with NULL. Two hosts with the same values have the same hash, regardless of the order, spaces and
 * comments in their files.
 */
uint64_t settings_digest(const struct settings_item *items, size_t n, const void *target,
			 const char *const *sections);

/*
 * Appends the "section.key" of each setting that differs between the structs a and b, separated by
 * commas.
 */
void settings_differing(const struct settings_item *items, size_t n, const void *a, const void *b,
			GString *keys);

/* Frees the strings that settings_load() has stored in the struct. */
void settings_clear(const struct settings_item *items, size_t n, void *target);

G_END_DECLS

#endif
