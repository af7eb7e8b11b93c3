#ifndef BASE_SET_H
#define BASE_SET_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Settings of a program: an INI file read whole into a struct by a table. Every problem is reported
 * with file, line and key before the program does anything.
 */
enum set_type {
	SET_INT,  /* int64_t, within min..max */
	SET_REAL, /* double, within min..max */
	SET_TEXT, /* char *, g_free() by set_clear(); may be empty only if min is 0 */
	SET_ADDR  /* char * of the form IP:PORT */
};

struct set_item {
	const char *section;
	const char *key;
	enum set_type type;
	size_t offset;	     /* of the field in the settings struct */
	const char *initial; /* value when the file has none; NULL: must be given */
	int64_t min;
	int64_t max;
};

/*
 * Fills the struct at target from path. Problems go to errors, one line each. Returns 0,
 * BASE_EFILE or BASE_ESETTING; after an error the struct may be cleared but not used.
 */
int set_load(const char *path, const struct set_item *items, size_t n, void *target,
	     GString *errors);

/*
 * Hash of the settings of these sections (ends with NULL) with their values in effect: two hosts
 * that run the same ones have the same, whatever the order, spaces and comments of their files.
 */
uint64_t set_digest(const struct set_item *items, size_t n, const void *target,
		    const char *const *sections);

/* Appends the "section.key" of each setting that differs, with commas between. */
void set_differing(const struct set_item *items, size_t n, const void *a, const void *b,
		   GString *keys);

/* Frees what set_load() has put into the struct. */
void set_clear(const struct set_item *items, size_t n, void *target);

G_END_DECLS

#endif
