package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// rule is a validator tag and the message reported when a setting fails it. A
// %s in the message stands for the tag's parameter.
type rule struct{ tag, message string }

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

// describe returns the problem of an invalid setting of the struct type t: the
// setting's flag and the message of the rule that it fails. It leaves out the
// setting's value, which may be a secret.
func describe(t reflect.Type, f validator.FieldError) string {
	structField, _, _ := strings.Cut(f.StructField(), "[") // an invalid list element is reported as Field[index]
	field, _ := t.FieldByName(structField)
	name := field.Tag.Get("flag")
	for _, r := range rules {
		if r.tag != f.Tag() {
			continue
		}
		message := r.message
		if f.Param() != "" && f.Tag() != "excludesall" {
			message = fmt.Sprintf(r.message, f.Param())
		}
		return name + " " + message
	}
	return name + " is wrong"
}
