/** Fills in the template of the settings, as the deploy page describes it. */

function lookUp(scopes, path) {
  if (path === ".") return scopes[0];
  const names = path.split(".");
  for (const scope of scopes) {
    let value = scope;
    for (const name of names) value = value?.[name];
    if (value !== undefined) return value;
  }
  return undefined;
}

function renderValue(value, asJson) {
  if (asJson) return JSON.stringify(value ?? null);
  if (value === undefined || value === null) return "";
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

/** Renders the placeholders and the sections over lists. */
export function renderTemplate(template, fields, scopes = [fields]) {
  const withSections = template.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_, path, body) => {
      const list = lookUp(scopes, path) ?? [];
      return list.map((entry, index) =>
        renderTemplate(
          body.replace("{{,}}", index < list.length - 1 ? "," : ""),
          fields,
          [entry, ...scopes],
        )
      ).join("");
    },
  );
  return withSections.replace(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_, path, json) => renderValue(lookUp(scopes, path), json !== undefined),
  );
}

/** Reads the command and the template of a role from the deploy file. */
export function readRole(deployText) {
  const field = (name) =>
    new RegExp(`^${name} = "(.*)"$`, "m").exec(deployText)?.[1];
  return { run: field("run"), template: field("template") };
}
