package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// rule explains a failed check.
type rule struct{ tag, text string }

var rules = []rule{
	{"required", "is missing"},
	{"ipport", "must be an IP number and a port, such as 10.0.0.1:8080; names are not looked up"},
	{"pem", "must be PEM, or a readable file that holds it"},
	{"len", "must have %s characters"},
	{"hexadecimal", "must be hexadecimal"},
	{"min", "must be at least %s"},
	{"max", "must be at most %s"},
	{"excludesall", "must not contain a slash or a space"},
}

// describe names a wrong setting of the struct t by its flag, without its value when that is
// a secret.
func describe(t reflect.Type, f validator.FieldError) string {
	structField, _, _ := strings.Cut(f.StructField(), "[") // an entry of a list
	field, _ := t.FieldByName(structField)
	name := field.Tag.Get("flag")
	for _, r := range rules {
		if r.tag != f.Tag() {
			continue
		}
		text := r.text
		if f.Param() != "" && f.Tag() != "excludesall" {
			text = fmt.Sprintf(r.text, f.Param())
		}
		return name + " " + text
	}
	return name + " is wrong"
}
