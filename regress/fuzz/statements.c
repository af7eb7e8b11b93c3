#include "conf/clog.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/*
 * Applies arbitrary bytes as configuration statements. If they are accepted, checks that the
 * exported configuration can be applied again, and that exporting it a second time yields the same
 * text.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct conf_state *empty = conf_state_new();
	struct conf_problem problem;
	int err;
	struct conf_state *state =
		conf_apply(empty, str_make((const char *)data, len), &problem, &err);

	if (state) {
		GString *text = g_string_new(NULL);
		GString *again = g_string_new(NULL);
		struct conf_state *copy;

		conf_export(state, text);
		copy = conf_apply(empty, str_make(text->str, text->len), &problem, &err);
		if (!copy)
			abort();
		conf_export(copy, again);
		if (!g_string_equal(text, again))
			abort();
		conf_state_unref(copy);
		g_string_free(text, TRUE);
		g_string_free(again, TRUE);
	}
	conf_state_unref(state);
	conf_state_unref(empty);
	return 0;
}
