#include "base/hc_bound.h"

const char *hcb_form_name(enum hcb_form form)
{
	static const char *const names[HCB_FORM_COUNT] = {
		[HCB_NONE] = "none",	   [HCB_HEAD] = "head", [HCB_TRAILER] = "trailer",
		[HCB_FRAMING] = "framing", [HCB_BODY] = "body",
	};

	return names[form];
}

/* Keeps the first form that was too much. Returns whether there is none. */
static bool hcb_check(struct hcb *bound, enum hcb_form form, bool is_too_much)
{
	if (is_too_much && bound->form == HCB_NONE)
		bound->form = form;
	return bound->form == HCB_NONE;
}

/* Counts a line of the form; seen: those before it. */
static bool hcb_on_line(struct hcb *bound, enum hcb_form form, struct hcb_lines *seen, size_t len)
{
	static const struct hcb_lines max[HCB_FORM_COUNT] = {
		[HCB_HEAD] = {HCB_HEAD_BYTES_MAX, HCB_HEAD_LINES_MAX},
		[HCB_TRAILER] = {HCB_TRAILER_BYTES_MAX, HCB_TRAILER_LINES_MAX},
	};

	bound->brought += len;
	seen->bytes += len;
	seen->n++;
	return hcb_check(bound, form, seen->bytes > max[form].bytes || seen->n > max[form].n);
}

bool hcb_on_head_line(struct hcb *bound, size_t len)
{
	return hcb_on_line(bound, HCB_HEAD, &bound->head, len);
}

bool hcb_on_trailer(struct hcb *bound, size_t len)
{
	return hcb_on_line(bound, HCB_TRAILER, &bound->trailer, len);
}

void hcb_on_body(struct hcb *bound, size_t len)
{
	bound->brought += len;
}

/* Counts what was read beside lines and the body, without that of earlier responses. */
static void hcb_count_framing(struct hcb *bound, uint64_t read)
{
	uint64_t beside = read > bound->brought ? read - bound->brought : 0;

	if (!bound->has_base && !bound->is_fresh)
		bound->framing_base = beside;
	bound->has_base = true;
	bound->framing = beside > bound->framing_base ? beside - bound->framing_base : 0;
}

bool hcb_on_read(struct hcb *bound, const uint64_t *read)
{
	uint64_t max = HCB_FRAMING_BYTES_MAX + bound->brought * HCB_FRAMING_BYTES_PER_BYTE;

	if (read)
		hcb_count_framing(bound, *read);
	else
		bound->empty_reads++;
	return hcb_check(bound, HCB_FRAMING,
			 bound->framing > max || bound->empty_reads > HCB_EMPTY_READS_MAX);
}

bool hcb_on_collected(struct hcb *bound, size_t len, size_t max)
{
	return hcb_check(bound, HCB_BODY, len > max);
}
